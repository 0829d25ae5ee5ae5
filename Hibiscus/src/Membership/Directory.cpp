#include "Hibiscus/src/Membership/Directory.h"

#include <algorithm>
#include <xxhash.h>

namespace Hibiscus {

void Directory::setSeeds(const std::vector<NodeName> &seeds)
{
    this->seeds = { seeds.begin(), seeds.end() };
    this->seeds.erase(this->self);
}

void Directory::recordAnnouncement(const NodeRecord &record, TimePoint now)
{
    if (record.node == this->self)
        return;
    Entry &entry = this->entries[record.node];
    if (record.incarnation < entry.record.incarnation)
        return;
    const bool wasListed = now < entry.lastSeenAt + this->options.liveTimeout;
    this->hasChanged = this->hasChanged || !wasListed || entry.record != record;
    entry = { .record = record, .lastSeenAt = now, .listedAt = now };
}

NodeList Directory::answer(const NodeAnnouncement &announcement, const NodeRecord &own,
                           TimePoint now)
{
    this->recordAnnouncement(announcement.self, now);
    const NodeRecord *known = this->find(announcement.self.node);
    if (known == nullptr || known->incarnation <= announcement.self.incarnation)
        return this->buildList(own, announcement.listDigest, now);
    NodeList list = this->buildList(own, 0, now);
    list.digest = 0;
    list.nodes.push_back(*known);
    return list;
}

void Directory::mergeList(const NodeList &list, TimePoint now)
{
    ReceivedList &received = this->lists[list.sender];
    if (list.nodes.empty()) {
        if (list.digest != received.digest)
            return;
        for (const NodeName &node : received.nodes)
            if (const auto found = this->entries.find(node); found != this->entries.end())
                found->second.listedAt = now;
        return;
    }
    received = { .digest = list.digest };
    for (const NodeRecord &record : list.nodes)
        received.nodes.push_back(record.node);
    for (const NodeRecord &record : list.nodes) {
        if (record.node == this->self) {
            this->ownListedIncarnation = std::max(this->ownListedIncarnation, record.incarnation);
            continue;
        }
        Entry &entry = this->entries[record.node];
        if (record.incarnation >= entry.record.incarnation && record != entry.record) {
            entry.record = record;
            this->hasChanged = true;
        }
        entry.listedAt = now;
    }
}

void Directory::removeExpired(TimePoint now)
{
    if (now < this->expiryCheckedAt + this->options.expiryCheckInterval)
        return;
    this->expiryCheckedAt = now;
    const std::set<NodeName> knownBefore = this->knownRegistries();
    std::erase_if(this->entries, [&](const auto &item) {
        return now >= item.second.listedAt + this->options.expiryTimeout;
    });
    std::erase_if(this->lists,
                  [&](const auto &item) { return !this->entries.contains(item.first); });
    if (!this->knownRegistries().empty())
        this->formerRegistries.clear();
    else if (!knownBefore.empty())
        this->formerRegistries = knownBefore;
}

std::set<NodeName> Directory::knownRegistries() const
{
    std::set<NodeName> names;
    for (const auto &[name, entry] : this->entries)
        if (entry.record.kind == NodeKind::Registry)
            names.insert(name);
    return names;
}

std::vector<NodeName> Directory::takeDueAnnouncements(TimePoint now)
{
    if (now < this->announcementDueAt)
        return {};
    this->announcementDueAt = now + this->options.announcementInterval;
    return this->registries();
}

// Many nodes ask for the list, and it rarely changes between their requests.
NodeList Directory::buildList(const NodeRecord &own, std::uint64_t heldDigest, TimePoint now)
{
    const bool isCurrent = now < this->builtListAt + this->options.listInterval && !this->hasChanged
        && this->builtList.nodes.front() == own;
    if (!isCurrent)
        this->rebuildList(own, now);
    if (this->builtList.digest != heldDigest)
        return this->builtList;
    return { .sender = this->self, .digest = heldDigest };
}

void Directory::rebuildList(const NodeRecord &own, TimePoint now)
{
    this->builtListAt = now;
    this->hasChanged = false;
    this->builtList = { .sender = this->self, .nodes = { own } };
    for (const auto &[name, entry] : this->entries)
        if (now < entry.lastSeenAt + this->options.liveTimeout)
            this->builtList.nodes.push_back(entry.record);
    const Bytes bytes = encode(this->builtList.nodes);
    this->builtList.digest = XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t Directory::digestOfList(const NodeName &registry) const
{
    const auto found = this->lists.find(registry);
    return found == this->lists.end() ? 0 : found->second.digest;
}

std::vector<NodeRecord> Directory::liveGateways(TimePoint now) const
{
    return this->gatewaysSeenWithin(this->options.liveTimeout, now);
}

std::vector<NodeRecord> Directory::knownGateways(TimePoint now) const
{
    return this->gatewaysSeenWithin(this->options.expiryTimeout, now);
}

std::vector<NodeRecord> Directory::gatewaysSeenWithin(Duration span, TimePoint now) const
{
    std::vector<NodeRecord> records;
    for (const auto &[name, entry] : this->entries) {
        const bool isLive = now < entry.lastSeenAt + span;
        if (isLive && entry.record.kind == NodeKind::Gateway)
            records.push_back(entry.record);
    }
    return records;
}

std::vector<NodeRecord> Directory::gateways() const
{
    std::vector<NodeRecord> records;
    for (const auto &[name, entry] : this->entries)
        if (entry.record.kind == NodeKind::Gateway)
            records.push_back(entry.record);
    return records;
}

std::vector<NodeRecord> Directory::gatewaysListedBy(const NodeName &registry) const
{
    std::vector<NodeRecord> records;
    const auto list = this->lists.find(registry);
    if (list == this->lists.end())
        return records;
    for (const NodeName &node : list->second.nodes)
        if (const NodeRecord *record = this->find(node))
            if (record->kind == NodeKind::Gateway)
                records.push_back(*record);
    return records;
}

// All seeds may have been replaced since the settings were written, so a node that was cut off for
// longer than the expiry goes on to contact the registry nodes that it knew before.
std::vector<NodeName> Directory::registries() const
{
    std::set<NodeName> names = this->seeds;
    names.merge(this->knownRegistries());
    names.insert(this->formerRegistries.begin(), this->formerRegistries.end());
    return { names.begin(), names.end() };
}

const NodeRecord *Directory::find(const NodeName &node) const
{
    const auto found = this->entries.find(node);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

} // namespace Hibiscus
