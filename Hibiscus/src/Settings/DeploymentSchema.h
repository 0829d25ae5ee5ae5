#pragma once

namespace Hibiscus::internal {

/** \brief The JSON schema of a deployment's settings file. */
inline constexpr const char *deploymentSchema = R"schema({
  "type": "object",
  "additionalProperties": false,
  "required": ["deployment", "region", "domains", "services", "nodes"],
  "properties": {
    "deployment": { "type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$" },
    "region": { "type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$" },
    "domains": {
      "type": "array", "minItems": 1, "maxItems": 64, "uniqueItems": true,
      "items": { "type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$" }
    },
    "services": {
      "type": "array", "minItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name"],
        "properties": {
          "name": { "type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$" },
          "slots": { "type": "integer", "minimum": 1, "maximum": 1024 },
          "connections": { "type": "integer", "minimum": 1, "maximum": 1024 }
        }
      }
    },
    "nodes": {
      "type": "array", "minItems": 1,
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["name", "role", "domain", "rpc", "http"],
        "properties": {
          "name": { "type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$" },
          "role": { "type": "string", "enum": ["entry", "journal", "control"] },
          "domain": { "type": "string" },
          "serves": { "type": "string" },
          "rpc": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
          "http": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
          "weight": { "type": "integer", "minimum": 1, "maximum": 100 }
        }
      }
    },
    "limits": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "waiting_tasks": { "type": "integer", "minimum": 1, "maximum": 1000000 },
        "body_bytes": { "type": "integer", "minimum": 1024, "maximum": 1000000000 },
        "payload_bytes": { "type": "integer", "minimum": 1, "maximum": 100000000 }
      }
    },
    "timing_ms": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "target_lease": { "type": "integer", "minimum": 500, "maximum": 10000 },
        "heartbeat": { "type": "integer", "minimum": 10, "maximum": 1000 },
        "election_timeout": { "type": "integer", "minimum": 100, "maximum": 10000 },
        "default_deadline": { "type": "integer", "minimum": 100, "maximum": 3600000 },
        "longest_deadline": { "type": "integer", "minimum": 100, "maximum": 3600000 },
        "stop_bound": { "type": "integer", "minimum": 100, "maximum": 3600000 }
      }
    }
  }
})schema";

} // namespace Hibiscus::internal
