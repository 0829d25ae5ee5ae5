#include <Hibiscus/Replication>

#include <gtest/gtest.h>

#include <array>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

using namespace Hibiscus;

namespace {

/** \brief What a candidate and a leader do otherwise than they should, to show that the search
 * finds it.
 */
enum class Defect : std::uint8_t {
    None,
    LateEvidence, ///< a lost disk also counts for votes and acknowledgements that are older
    OneMembership ///< the former membership is not asked while a change is uncommitted
};

constexpr std::size_t memberCount = 4;
constexpr std::size_t termCount = 2;
constexpr std::size_t maxEntries = 3; ///< entries of a leader, the first a no-op
constexpr std::uint8_t nobody = 0xff;
constexpr std::uint8_t formerCandidate = 0xfe;

using MemberMask = std::uint8_t;

/** \brief Position in the log: the entry of a term's leader. Term 0 holds the initial log. */
struct Position
{
    std::uint8_t term = 0;
    std::uint8_t entry = 0;

    auto operator<=>(const Position &other) const = default;
};

struct MemberState
{
    std::uint8_t term = 0;
    Position log;
    bool isCandidate = false;
    MemberMask evidence = 0; ///< members known to be lost when it became a candidate
    std::array<std::uint8_t, termCount + 1> votes { nobody, nobody, nobody };
    std::array<std::uint8_t, termCount + 1> acknowledged {}; ///< entries of each term's leader

    auto operator<=>(const MemberState &other) const = default;
};

struct TermState
{
    std::uint8_t leader = nobody;
    MemberMask evidence = 0;
    Position parent;
    std::uint8_t entries = 0;
    std::uint8_t committed = 0;
    std::array<MemberMask, maxEntries + 1> voters {}; ///< of each entry but the first

    auto operator<=>(const TermState &other) const = default;
};

struct GroupState
{
    std::array<MemberState, memberCount> members;
    std::array<TermState, termCount + 1> terms;
    MemberMask lost = 0;

    bool operator==(const GroupState &other) const = default;
};

static_assert(std::has_unique_object_representations_v<GroupState>);

struct GroupStateHash
{
    std::size_t operator()(const GroupState &state) const
    {
        return std::hash<std::string_view>()(
            { reinterpret_cast<const char *>(&state), sizeof(state) });
    }
};

/** \brief What a search covers. */
struct SearchOptions
{
    MemberMask initialVoters = 0;
    int maxLostDisks = 1;
    std::size_t entriesPerTerm = 1;
    Defect defect = Defect::None;
};

/** \brief Searches all orders of elections, appends, commits, membership changes and disk losses of
 * a group of four nodes in two terms, with messages that take any time.
 *
 * Entries of a term are adopted in order, so a log is known by its last entry. Each node may know
 * what is committed or not.
 */
class Search
{
public:
    explicit Search(const SearchOptions &options) : options(options) { }

    /** \returns the first violation, or nothing. */
    std::string run()
    {
        this->visit({});
        while (!this->open.empty() && this->violation.empty()) {
            const GroupState state = this->open.back();
            this->open.pop_back();
            this->expand(state);
        }
        return this->violation;
    }

    std::size_t stateCount() const { return this->known.size(); }

private:
    // What can have no effect any more is cleared, so that such states count as one.
    void visit(GroupState state)
    {
        for (std::uint8_t term = 1; term <= termCount; ++term) {
            const auto isCandidate = [&](std::uint8_t member) {
                return member < memberCount && !isLost(state, member)
                    && state.members[member].isCandidate && state.members[member].term == term;
            };
            const std::uint8_t leader = state.terms[term].leader;
            const bool isLed
                = leader != nobody && !isLost(state, leader) && state.members[leader].term == term;
            if (!isLed)
                state.terms[term].evidence = 0;
            for (std::size_t member = 0; member < memberCount; ++member) {
                MemberState &each = state.members[member];
                if (each.votes[term] != nobody && !isCandidate(each.votes[term]))
                    each.votes[term] = formerCandidate;
                if (each.term > term)
                    each.votes[term]
                        = isCandidate(each.votes[term]) ? each.votes[term] : formerCandidate;
                if (!isLed && (each.term > term || isLost(state, member)))
                    each.acknowledged[term] = 0;
            }
        }
        for (std::size_t member = 0; member < memberCount; ++member)
            if (isLost(state, member)) {
                state.members[member].isCandidate = false;
                state.members[member].evidence = 0;
                state.members[member].term = termCount;
                state.members[member].log = {};
            }
        if (this->known.insert(state).second)
            this->open.push_back(state);
    }

    static bool isLost(const GroupState &state, std::size_t member)
    {
        return (state.lost >> member & 1) != 0;
    }

    void expand(const GroupState &state)
    {
        for (std::size_t member = 0; member < memberCount; ++member) {
            if (isLost(state, member))
                continue;
            GroupState next = state;
            next.lost |= static_cast<MemberMask>(1U << member);
            if (std::popcount(next.lost) <= this->options.maxLostDisks)
                this->visit(next);
            this->stand(state, member);
            for (std::uint8_t term = 1; term <= termCount; ++term) {
                this->vote(state, member, term);
                this->adopt(state, member, term);
            }
            if (state.members[member].isCandidate)
                this->win(state, member);
            if (const std::uint8_t term = state.members[member].term;
                state.terms[term].leader == member) {
                this->append(state, member, term);
                this->commit(state, term);
            }
        }
    }

    // With one of the lost disks as evidence, or none: a quorum leaves out one voter at most.
    void stand(const GroupState &state, std::size_t member)
    {
        const auto term = static_cast<std::uint8_t>(state.members[member].term + 1);
        if (term > termCount || (votersOf(state, state.members[member].log) >> member & 1) == 0)
            return;
        for (MemberMask evidence = 0; evidence < 1U << memberCount; ++evidence) {
            if ((evidence & state.lost) != evidence || std::popcount(evidence) > 1)
                continue;
            GroupState next = state;
            MemberState &candidate = next.members[member];
            candidate.term = term;
            candidate.isCandidate = true;
            candidate.evidence = evidence;
            candidate.votes[term] = static_cast<std::uint8_t>(member);
            this->visit(next);
        }
    }

    void vote(const GroupState &state, std::size_t member, std::uint8_t term)
    {
        const MemberState &voter = state.members[member];
        if (voter.term > term || voter.votes[term] != nobody)
            return;
        for (std::uint8_t other = 0; other < memberCount; ++other) {
            const MemberState &candidate = state.members[other];
            if (other == member || isLost(state, other) || !candidate.isCandidate
                || candidate.term != term || candidate.log < voter.log)
                continue;
            GroupState next = state;
            next.members[member].term = term;
            next.members[member].isCandidate = false;
            next.members[member].votes[term] = other;
            this->visit(next);
        }
    }

    void win(const GroupState &state, std::size_t member)
    {
        const MemberState &candidate = state.members[member];
        const std::uint8_t term = candidate.term;
        MemberMask voters = 0;
        for (std::size_t other = 0; other < memberCount; ++other)
            if (state.members[other].votes[term] == member)
                voters |= static_cast<MemberMask>(1U << other);
        if (!this->isQuorum(state, candidate.log, voters, candidate.evidence))
            return;
        if (state.terms[term].leader != nobody)
            this->violation = "two leaders of one term";
        for (std::uint8_t earlier = 1; earlier < term; ++earlier)
            if (const std::uint8_t entry = state.terms[earlier].committed;
                entry > 0 && !contains(state, candidate.log, { earlier, entry }))
                this->violation = "a leader without a committed entry";
        GroupState next = state;
        next.terms[term] = { .leader = static_cast<std::uint8_t>(member),
                             .evidence = candidate.evidence,
                             .parent = candidate.log,
                             .entries = 1 };
        MemberState &leader = next.members[member];
        leader.isCandidate = false;
        leader.evidence = 0;
        leader.log = { term, 1 };
        leader.acknowledged[term] = 1;
        this->visit(next);
    }

    void adopt(const GroupState &state, std::size_t member, std::uint8_t term)
    {
        const MemberState &follower = state.members[member];
        const TermState &leading = state.terms[term];
        if (leading.leader == nobody || leading.leader == member || follower.term > term)
            return;
        const std::uint8_t held = follower.acknowledged[term];
        if (held >= leading.entries)
            return;
        GroupState next = state;
        MemberState &updated = next.members[member];
        updated.term = term;
        updated.isCandidate = false;
        updated.evidence = 0;
        updated.acknowledged[term] = static_cast<std::uint8_t>(held + 1);
        updated.log = { term, updated.acknowledged[term] };
        this->visit(next);
    }

    // One change of a vote at a time, each confirmed before the next.
    void append(const GroupState &state, std::size_t member, std::uint8_t term)
    {
        const TermState &leading = state.terms[term];
        const Position last = { term, leading.entries };
        if (leading.entries >= this->options.entriesPerTerm || leading.committed < leading.entries)
            return;
        const auto [voters, former] = this->membershipsAt(state, last);
        if (voters != former) {
            this->appendVoters(state, term, voters);
            return;
        }
        for (std::size_t other = 0; other < memberCount; ++other) {
            const auto bit = static_cast<MemberMask>(1U << other);
            const bool isVoter = (voters & bit) != 0;
            const bool isAddition = !isVoter && std::popcount(voters) == 3 && !isLost(state, other);
            const bool isRemoval = isVoter && std::popcount(voters) == 4 && other != member;
            if (isAddition || isRemoval)
                this->appendVoters(state, term, static_cast<MemberMask>(voters ^ bit));
        }
    }

    void appendVoters(const GroupState &state, std::uint8_t term, MemberMask voters)
    {
        GroupState next = state;
        TermState &leading = next.terms[term];
        ++leading.entries;
        leading.voters[leading.entries] = voters;
        MemberState &leader = next.members[leading.leader];
        leader.log.entry = leading.entries;
        leader.acknowledged[term] = leading.entries;
        this->visit(next);
    }

    void commit(const GroupState &state, std::uint8_t term)
    {
        const TermState &leading = state.terms[term];
        const auto entry = static_cast<std::uint8_t>(leading.committed + 1);
        if (entry > leading.entries)
            return;
        MemberMask holders = 0;
        for (std::size_t other = 0; other < memberCount; ++other)
            if (state.members[other].acknowledged[term] >= entry)
                holders |= static_cast<MemberMask>(1U << other);
        if (!this->isQuorum(state, { term, leading.entries }, holders, leading.evidence))
            return;
        for (std::uint8_t later = term + 1; later <= termCount; ++later)
            if (state.terms[later].leader != nobody
                && !contains(state, state.terms[later].parent, { term, entry }))
                this->violation = "an entry is committed that a later leader lacks";
        GroupState next = state;
        next.terms[term].committed = entry;
        this->visit(next);
    }

    /** \returns whether the log that ends with \a last contains \a position. */
    static bool contains(const GroupState &state, Position last, Position position)
    {
        while (last.term > position.term)
            last = state.terms[last.term].parent;
        return last.term == position.term && last.entry >= position.entry;
    }

    static bool isCommitted(const GroupState &state, Position position)
    {
        if (position.term == 0)
            return true;
        for (std::uint8_t term = position.term; term <= termCount; ++term)
            if (const std::uint8_t entry = state.terms[term].committed;
                entry > 0 && contains(state, { term, entry }, position))
                return true;
        return false;
    }

    MemberMask votersOf(const GroupState &state, Position last) const
    {
        return this->membershipsAt(state, last).first;
    }

    /** \returns the present and the former voters of the log that ends with \a last. */
    std::pair<MemberMask, MemberMask> membershipsAt(const GroupState &state, Position last) const
    {
        std::vector<MemberMask> found;
        for (; last.term > 0 && found.size() < 2; last = state.terms[last.term].parent)
            for (std::uint8_t entry = last.entry; entry > 1 && found.size() < 2; --entry)
                found.push_back(state.terms[last.term].voters[entry]);
        while (found.size() < 2)
            found.push_back(this->options.initialVoters);
        return { found[0], found[1] };
    }

    static Position membershipPosition(const GroupState &state, Position last)
    {
        while (last.term > 0 && last.entry <= 1)
            last = state.terms[last.term].parent;
        return last;
    }

    bool isQuorum(const GroupState &state, Position last, MemberMask members, MemberMask evidence)
    {
        if (this->options.defect == Defect::LateEvidence)
            for (std::size_t other = 0; other < memberCount; ++other) {
                const auto bit = static_cast<MemberMask>(1U << other);
                if ((state.lost & bit) != 0 && this->isQuorumWith(state, last, members, bit))
                    return true;
            }
        return this->isQuorumWith(state, last, members, evidence);
    }

    bool isQuorumWith(const GroupState &state, Position last, MemberMask members,
                      MemberMask evidence)
    {
        const auto [voters, former] = this->membershipsAt(state, last);
        const bool mayKnowCommit = isCommitted(state, membershipPosition(state, last));
        const bool isKnown = this->options.defect == Defect::OneMembership || voters == former;
        return this->isQuorum(voters, former, isKnown || mayKnowCommit, members, evidence)
            || (!isKnown && this->isQuorum(voters, former, false, members, evidence));
    }

    bool isQuorum(MemberMask voters, MemberMask former, bool areVotersCommitted, MemberMask members,
                  MemberMask evidence)
    {
        const std::uint32_t key = voters | static_cast<std::uint32_t>(former) << 4
            | static_cast<std::uint32_t>(members) << 8 | static_cast<std::uint32_t>(evidence) << 12
            | static_cast<std::uint32_t>(areVotersCommitted) << 16;
        const auto [found, isNew] = this->quorums.try_emplace(key);
        if (isNew)
            found->second = QuorumRule { .membership = membershipOf(voters),
                                         .formerMembership = membershipOf(former),
                                         .areVotersCommitted = areVotersCommitted,
                                         .lostVoters = membershipOf(evidence).voters() }
                                .isQuorum(membershipOf(members).voters());
        return found->second;
    }

    static GroupMembership membershipOf(MemberMask mask)
    {
        GroupMembership membership;
        for (std::size_t i = 0; i < memberCount; ++i)
            if ((mask >> i & 1) != 0)
                membership.members.push_back(
                    { .id = { .node = NodeName(std::string(1, static_cast<char>('a' + i))),
                              .incarnation = 1 } });
        return membership;
    }

    SearchOptions options;
    std::string violation;
    std::vector<GroupState> open;
    std::unordered_set<GroupState, GroupStateHash> known;
    std::unordered_map<std::uint32_t, bool> quorums;
};

constexpr MemberMask threeVoters = 0b0111;
constexpr MemberMask fourVoters = 0b1111;

// Guards against two leaders of one term and against committed entries that a later leader lacks,
// where a quorum leaves out a voter whose disk is lost, or while the voters change.
TEST(QuorumRule, NoOrderOfElectionsChangesAndLostDisksLosesAnEntry)
{
    const std::vector<SearchOptions> searches
        = { { .initialVoters = threeVoters, .maxLostDisks = 2, .entriesPerTerm = 2 },
            { .initialVoters = threeVoters, .entriesPerTerm = 3 },
            { .initialVoters = fourVoters, .maxLostDisks = 2, .entriesPerTerm = 2 } };
    for (const SearchOptions &options : searches) {
        Search search(options);
        EXPECT_EQ(search.run(), "");
        std::cout << search.stateCount() << " states\n";
    }
}

// Shows that the search above finds what its rules are for.
TEST(QuorumRule, SearchFindsWhatTheRuleGuardsAgainst)
{
    EXPECT_NE(
        Search({ .initialVoters = fourVoters, .maxLostDisks = 2, .defect = Defect::LateEvidence })
            .run(),
        "");
    for (const MemberMask voters : { threeVoters, fourVoters })
        EXPECT_NE(
            Search(
                { .initialVoters = voters, .entriesPerTerm = 2, .defect = Defect::OneMembership })
                .run(),
            "");
}

// Guards against a group that has lost a voter without notice and the disk of another, and can't go
// on though each committed entry is on a disk that is left.
TEST(QuorumRule, HalfOfAnEvenGroupIsAQuorumIfOneOfTheOthersIsLost)
{
    for (std::size_t losses = 1; losses <= 3; ++losses) {
        GroupMembership membership;
        std::set<MemberId> remaining;
        for (std::size_t i = 0; i < 2 * losses + 2; ++i) {
            const MemberId id = { .node = NodeName("n" + std::to_string(i)), .incarnation = 1 };
            membership = membership.with({ .id = id });
            if (i <= losses)
                remaining.insert(id);
        }
        const MemberId lost
            = { .node = NodeName("n" + std::to_string(losses + 1)), .incarnation = 1 };
        QuorumRule rule = { .membership = membership, .formerMembership = membership };
        EXPECT_FALSE(rule.isQuorum(remaining));
        rule.lostVoters = { lost };
        EXPECT_TRUE(rule.isQuorum(remaining));
        std::set<MemberId> withLost = remaining;
        withLost.erase(withLost.begin());
        withLost.insert(lost);
        EXPECT_FALSE(rule.isQuorum(withLost)) << "the lost member counts";
        rule.areVotersCommitted = false;
        EXPECT_FALSE(rule.isQuorum(remaining)) << "before the voters are committed";
    }
}

} // namespace
