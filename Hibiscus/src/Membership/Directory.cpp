#include "Hibiscus/src/Membership/Directory.h"

namespace Hibiscus {

void Directory::setSeeds(const std::vector<NodeName> &seeds)
{
    this->seeds = { seeds.begin(), seeds.end() };
    this->seeds.erase(this->self);
}

void Directory::hear(const NodeRecord &record, TimePoint now)
{
    if (record.node == this->self)
        return;
    Entry &entry = this->entries[record.node];
    if (record.life < entry.record.life)
        return;
    entry = { .record = record, .heardAt = now, .listedAt = now };
}

void Directory::learn(const NodeList &list, TimePoint now)
{
    for (const NodeRecord &record : list.nodes) {
        if (record.node == this->self)
            continue;
        Entry &entry = this->entries[record.node];
        if (record.life >= entry.record.life)
            entry.record = record;
        entry.listedAt = now;
    }
}

void Directory::forgetGone(TimePoint now)
{
    std::erase_if(this->entries, [&](const auto &item) {
        return now >= item.second.listedAt + this->options.listedFor;
    });
}

std::vector<NodeName> Directory::takeHellos(TimePoint now)
{
    if (now < this->helloAt)
        return {};
    this->helloAt = now + this->options.helloInterval;
    return this->registries();
}

NodeList Directory::heard(TimePoint now) const
{
    NodeList list;
    for (const auto &[name, entry] : this->entries)
        if (now < entry.heardAt + this->options.liveFor)
            list.nodes.push_back(entry.record);
    return list;
}

std::vector<NodeRecord> Directory::liveGateways(TimePoint now) const
{
    std::vector<NodeRecord> records;
    for (const auto &[name, entry] : this->entries) {
        const bool isLive = now < entry.heardAt + this->options.liveFor;
        if (isLive && entry.record.kind == MemberKind::Gateway)
            records.push_back(entry.record);
    }
    return records;
}

std::vector<NodeRecord> Directory::gateways() const
{
    std::vector<NodeRecord> records;
    for (const auto &[name, entry] : this->entries)
        if (entry.record.kind == MemberKind::Gateway)
            records.push_back(entry.record);
    return records;
}

std::vector<NodeName> Directory::registries() const
{
    std::set<NodeName> names = this->seeds;
    for (const auto &[name, entry] : this->entries)
        if (entry.record.kind == MemberKind::Registry)
            names.insert(name);
    return { names.begin(), names.end() };
}

const NodeRecord *Directory::find(const NodeName &node) const
{
    const auto found = this->entries.find(node);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

} // namespace Hibiscus
