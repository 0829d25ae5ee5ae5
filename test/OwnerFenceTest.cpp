#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief Guardian of an owner with one target. */
class GuardianFixture
{
public:
    GuardianFixture() { this->setTargets(false); }

    void setTargets(bool isFenceWanted)
    {
        const OrderAddress address
            = { .target = TargetName("t"), .incarnation = 3, .fencingToken = token };
        this->fence.setTargets(this->owner, incarnation,
                               { { .address = address, .isFenceWanted = isFenceWanted } },
                               this->now);
    }

    /** \returns the polls that are due after \a span. */
    std::vector<PollOrder> pollsAfter(Duration span)
    {
        this->now += span;
        return this->fence.takeDuePolls(this->now);
    }

    void respond(const PollOrder &poll, OrderStatus status)
    {
        EXPECT_TRUE(
            this->fence.handlePollResponse(poll.to, poll.sentAt, { .status = status }, this->now));
    }

    static constexpr std::uint64_t token = 1'000'000'000;
    static constexpr std::uint64_t incarnation = 5;
    const NodeName owner { "g" };
    TimePoint now { 1'800'000'000s };
    OwnerFence fence { OwnerFenceOptions {} };
};

TEST(OwnerFence, TargetsOfALostOwnerAreFencedUntilTheyRejectTheToken)
{
    GuardianFixture fixture;
    EXPECT_TRUE(fixture.pollsAfter(1s).empty());
    fixture.fence.handleLoss(fixture.owner, FenceCause::OwnerSilent, fixture.now);
    const std::vector<PollOrder> first = fixture.pollsAfter({});
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].to.fencingToken, FencingToken::fenceOf(GuardianFixture::token));
    EXPECT_FALSE(first[0].leaseExpiryMs) << "a fence renews no lease";
    EXPECT_EQ(first[0].acknowledgedEnd, 0U) << "a fence acknowledges no end";
    fixture.respond(first[0], OrderStatus::Unanswered);
    const std::vector<PollOrder> second = fixture.pollsAfter(100ms);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_TRUE(second[0].usesNewConnection);
    fixture.respond(second[0], OrderStatus::Done);
    EXPECT_TRUE(fixture.pollsAfter(100ms).empty());
    const std::vector<PollOrder> repeated = fixture.pollsAfter(400ms);
    ASSERT_EQ(repeated.size(), 1U) << "a restarted target has forgotten the token";
    fixture.respond(repeated[0], OrderStatus::Fenced);
    EXPECT_EQ(fixture.fence.fenceCount(), 0U);
    fixture.fence.handleLoss(fixture.owner, FenceCause::OwnerSilent, fixture.now);
    EXPECT_TRUE(fixture.pollsAfter(1s).empty()) << "a loss is handled once";
}

TEST(OwnerFence, ContactWithTheOwnerEndsTheFence)
{
    GuardianFixture fixture;
    fixture.fence.handleLoss(fixture.owner, FenceCause::OwnerSilent, fixture.now);
    const std::vector<PollOrder> polls = fixture.pollsAfter({});
    fixture.fence.handleContact(fixture.owner, GuardianFixture::incarnation);
    EXPECT_EQ(fixture.fence.fenceCount(), 0U);
    EXPECT_FALSE(fixture.fence.handlePollResponse(polls.at(0).to, polls.at(0).sentAt,
                                                  { .status = OrderStatus::Done }, fixture.now));
    fixture.fence.handleLoss(fixture.owner, FenceCause::OwnerSilent, fixture.now);
    EXPECT_EQ(fixture.pollsAfter({}).size(), 1U) << "it is lost again";
}

// The new process of the owner does not know the starts of the former one.
TEST(OwnerFence, ContactWithANewIncarnationDoesNotEndTheFence)
{
    GuardianFixture fixture;
    fixture.fence.handleLoss(fixture.owner, FenceCause::OwnerRestarted, fixture.now);
    fixture.fence.removeOwner(fixture.owner);
    fixture.fence.setTargets(fixture.owner, GuardianFixture::incarnation + 1, {}, fixture.now);
    fixture.fence.handleContact(fixture.owner, GuardianFixture::incarnation + 1);
    EXPECT_EQ(fixture.pollsAfter({}).size(), 1U);
}

TEST(OwnerFence, RequestOfALivingOwnerIsFollowedOnce)
{
    GuardianFixture fixture;
    fixture.setTargets(true);
    const std::vector<PollOrder> polls = fixture.pollsAfter({});
    ASSERT_EQ(polls.size(), 1U);
    fixture.fence.handleContact(fixture.owner, GuardianFixture::incarnation);
    fixture.respond(polls[0], OrderStatus::Done);
    fixture.setTargets(true);
    EXPECT_TRUE(fixture.pollsAfter(2s).empty());
    fixture.setTargets(false);
    fixture.setTargets(true);
    EXPECT_EQ(fixture.pollsAfter({}).size(), 1U) << "another request";
    fixture.setTargets(false);
    EXPECT_EQ(fixture.fence.fenceCount(), 0U) << "the owner has stopped the run meanwhile";
}

TEST(OwnerFence, TargetThatDoesNotRespondIsGivenUpAfterTheMaximumLateness)
{
    GuardianFixture fixture;
    fixture.fence.handleLoss(fixture.owner, FenceCause::OwnerSilent, fixture.now);
    for (Duration elapsed {}; elapsed < OwnerFenceOptions {}.maxLateness; elapsed += 100ms)
        for (const PollOrder &poll : fixture.pollsAfter(100ms))
            fixture.respond(poll, OrderStatus::Unanswered);
    EXPECT_EQ(fixture.fence.fenceCount(), 0U);
}

} // namespace
