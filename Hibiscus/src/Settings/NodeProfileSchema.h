#pragma once

namespace Hibiscus::internal {

/** \brief The JSON schema of the settings file of a node that discovers the others. */
inline constexpr const char *nodeProfileSchema = R"schema({
  "type": "object",
  "additionalProperties": false,
  "required": ["node", "domain", "ip", "peer_address", "registry_seeds"],
  "properties": {
    "node": { "type": "string", "minLength": 1 },
    "domain": { "type": "string", "minLength": 1 },
    "ip": { "type": "string", "minLength": 7 },
    "peer_address": { "$ref": "#/definitions/address" },
    "targets_address": { "$ref": "#/definitions/address" },
    "metrics_address": { "$ref": "#/definitions/address" },
    "callers_address": { "$ref": "#/definitions/address" },
    "readiness_address": { "$ref": "#/definitions/address" },
    "operators_address": { "$ref": "#/definitions/address" },
    "registry_seeds": {
      "type": "array", "minItems": 1, "items": { "$ref": "#/definitions/address" }
    },
    "is_first_start": { "type": "boolean" },
    "data_folder": { "type": "string" },
    "tolerated_losses": { "type": "integer", "minimum": 0, "maximum": 3 },
    "processor_share": { "type": "number", "exclusiveMinimum": 0, "maximum": 10000 },
    "lease_ms": { "type": "number", "minimum": 1, "maximum": 86400000 },
    "stop_bound_s": { "type": "number", "minimum": 0, "maximum": 86400 },
    "heartbeat_ms": { "type": "number", "minimum": 1, "maximum": 86400000 },
    "drain_ms": { "type": "number", "minimum": 0, "maximum": 86400000 },
    "scheduling": {
      "type": "object",
      "additionalProperties": false,
      "required": ["mode"],
      "properties": { "mode": { "enum": ["tasks", "whole-jobs"] } }
    }
  },
  "definitions": {
    "address": {
      "type": "string",
      "pattern":
        "^((25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])[.]){3}(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9]):([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])$"
    }
  }
})schema";

} // namespace Hibiscus::internal
