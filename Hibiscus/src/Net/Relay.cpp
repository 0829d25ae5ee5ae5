#include "Hibiscus/src/Net/Relay.h"

namespace Hibiscus {

namespace internal {

constexpr std::size_t maxMessagesPerBatch = 512;
/** \brief Limit of the receivers for which messages that are too large are logged. */
constexpr std::size_t maxOversizeReceivers = 1'000;

} // namespace internal

LoadTotals loadTotals(const RelayCounters &counters)
{
    return { .processorTime = processorTime(),
             .sentBytes = counters.sentBytes,
             .sentMessages = counters.sentMessages,
             .receivedMessages = counters.receivedMessages };
}

Relay::Relay(EventLoop &loop, const Options &options, const RelayTransportFactory &makeTransport,
             MessageHandler onMessage, BatchFailed batchFailed)
    : options(options), onMessage(std::move(onMessage)), batchFailed(std::move(batchFailed)),
      transport(makeTransport(
          loop,
          { .self = options.self,
            .address = options.address,
            .batchTimeout = options.batchTimeout,
            .maxBatchBytes = options.maxMessageBytes + batchOverheadBytes,
            .onBatch = [this](const RelayTransport::Batch &batch) { this->receive(batch); } }))
{ }

Result<void> Relay::listen()
{
    return this->transport.listen();
}

std::shared_ptr<Relay::Link> Relay::linkTo(const NodeName &node)
{
    if (const auto found = this->links.find(node); found != this->links.end())
        return found->second;
    const auto listed = this->options.nodes.find(node);
    std::optional<Address> address;
    if (listed != this->options.nodes.end())
        address = listed->second;
    else if (const auto parsed = Address::parse(node.str());
             this->options.namesAreAddresses && parsed)
        address = *parsed;
    if (!address)
        return nullptr;
    auto link = std::make_shared<Link>();
    link->node = node;
    link->address = *address;
    this->links[node] = link;
    return link;
}

void Relay::send(const NodeName &to, const WireMessage &message)
{
    const std::shared_ptr<Link> link = this->linkTo(to);
    if (!link)
        return;
    if (link->queue.size() >= this->options.maxQueuedMessages) {
        ++this->counts.droppedMessages;
        return;
    }
    Bytes bytes = encode(message);
    if (bytes.size() > this->options.maxMessageBytes) {
        this->refuse(to, message, bytes.size());
        return;
    }
    if (!link->queue.empty() && link->queuedBytes + bytes.size() > this->options.maxQueuedBytes) {
        ++this->counts.droppedMessages;
        return;
    }
    link->queuedBytes += bytes.size();
    link->queue.push_back(std::move(bytes));
    this->sendNextBatch(link);
}

void Relay::refuse(const NodeName &to, const WireMessage &message, std::size_t size)
{
    ++this->counts.oversizedMessages;
    if (this->oversizeReceivers.size() >= internal::maxOversizeReceivers
        || !this->oversizeReceivers.insert(to).second)
        return;
    logError("message-too-large",
             { { "to", to.str() },
               { "kind", std::to_string(message.index()) },
               { "bytes", std::to_string(size) },
               { "limit", std::to_string(this->options.maxMessageBytes) } });
}

RelayCounters Relay::counters() const
{
    RelayCounters counters = this->counts;
    counters.refusedBatches = this->transport.refusedBatches();
    return counters;
}

void Relay::disconnect(const NodeName &node)
{
    const auto found = this->links.find(node);
    if (found == this->links.end())
        return;
    this->transport.disconnect(found->second->address);
    this->links.erase(found);
}

void Relay::shutDown()
{
    this->transport.shutDown();
}

void Relay::receive(const RelayTransport::Batch &batch)
{
    for (const Bytes &bytes : batch) {
        const Result<WireMessage> message = decode<WireMessage>(bytes);
        if (!message) {
            ++this->counts.malformedMessages;
            logError("message-malformed", { { "bytes", std::to_string(bytes.size()) } });
            continue;
        }
        ++this->counts.receivedMessages;
        this->onMessage(*message);
    }
}

void Relay::sendNextBatch(const std::shared_ptr<Link> &link)
{
    if (link->isSending || link->queue.empty())
        return;
    link->isSending = true;
    RelayTransport::Batch batch;
    std::size_t size = 0;
    while (!link->queue.empty() && batch.size() < internal::maxMessagesPerBatch
           && size + link->queue.front().size() <= this->options.maxMessageBytes) {
        size += link->queue.front().size();
        link->queuedBytes -= link->queue.front().size();
        this->counts.sentBytes += link->queue.front().size();
        batch.push_back(std::move(link->queue.front()));
        link->queue.pop_front();
    }
    this->counts.sentMessages += batch.size();
    ++this->counts.sentBatches;
    this->transport.deliver(link->address, std::move(batch), [this, link](bool arrived) {
        link->isSending = false;
        if (!arrived) {
            ++this->counts.failedBatches;
            this->batchFailed(link->node);
        }
        this->sendNextBatch(link);
    });
}

} // namespace Hibiscus
