#include <Hibiscus/Api>
#include <Hibiscus/Net>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <random>

DEFINE_string(entries, "", "comma-separated HTTP addresses of entry nodes");
DEFINE_string(domains, "", "comma-separated home domains of the jobs, one for each entry node");
DEFINE_string(service, "hoso", "service of the jobs");
DEFINE_int32(jobs, 10, "number of jobs to submit");
DEFINE_double(rate, 10, "jobs per second");
DEFINE_int32(most_tasks, 12, "maximum number of tasks of a job; the minimum is 1");
DEFINE_int32(most_ms, 200, "maximum run time of a task in milliseconds; the minimum is 10");
DEFINE_double(repeatable, 0.0, "share of jobs that are repeatable");
DEFINE_double(resubmitted, 0.0, "share of jobs submitted a second time to another entry node");
DEFINE_int32(deadline_ms, 20000, "time until the deadline of each job, in milliseconds");
DEFINE_uint64(seed, 1, "seed of all random values");
DEFINE_int32(retries, 0,
             "maximum number of retries of a job, when its answer asks for one or none arrives");
DEFINE_string(answers, "", "file for a line with each answer; empty: none");

namespace Hibiscus {
namespace {

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

/** \brief Caller that submits jobs at a steady rate and records every answer. */
class StandInCaller
{
public:
    StandInCaller()
        : client(this->loop, { .connectionsPerServer = 256, .idleTimeout = 60s }),
          random(FLAGS_seed)
    {
        for (const std::string &entry : split(FLAGS_entries))
            this->entries.push_back(*Address::parse(entry));
        this->domains = split(FLAGS_domains);
        if (!FLAGS_answers.empty())
            this->answerFile.open(FLAGS_answers, std::ios::app);
    }

    int run()
    {
        const TimePoint start = this->loop.now();
        this->loop.run(
            1ms,
            [&] {
                const double dueJobs = toSeconds(this->loop.now() - start) * FLAGS_rate;
                while (this->submittedJobs < FLAGS_jobs && this->submittedJobs < dueJobs)
                    this->submitOne();
                if (this->submittedJobs >= FLAGS_jobs && this->openCalls == 0)
                    this->loop.stop();
            },
            [] {});
        nlohmann::ordered_json summary = { { "jobs", this->submittedJobs } };
        for (const auto &[outcome, count] : this->outcomeCounts)
            summary[outcome] = count;
        std::printf("%s\n", summary.dump().c_str());
        return 0;
    }

private:
    void submitOne()
    {
        std::uniform_int_distribution<int> tasks(1, FLAGS_most_tasks);
        std::uniform_int_distribution<int> milliseconds(10, FLAGS_most_ms);
        std::bernoulli_distribution repeatable(FLAGS_repeatable);
        std::bernoulli_distribution isResubmitted(FLAGS_resubmitted);
        const std::size_t entry
            = static_cast<std::size_t>(this->submittedJobs) % this->entries.size();
        ++this->submittedJobs;
        const JobId id(DomainName(this->domains.at(entry)), this->loop.now(),
                       "c" + std::to_string(FLAGS_seed) + "-"
                           + std::to_string(this->submittedJobs));
        nlohmann::json job = { { "id", id.str() },
                               { "service", FLAGS_service },
                               { "team", "demo" },
                               { "repeatable", repeatable(this->random) },
                               { "deadline_ms", FLAGS_deadline_ms } };
        const int count = tasks(this->random);
        for (int i = 0; i < count; ++i)
            job["tasks"].push_back(std::to_string(milliseconds(this->random)));
        this->send(id, job.dump(), entry, FLAGS_retries);
        if (isResubmitted(this->random))
            this->send(id, job.dump(), (entry + 1) % this->entries.size(), FLAGS_retries);
    }

    void send(const JobId &id, const std::string &body, std::size_t entry, int retries)
    {
        ++this->openCalls;
        HttpCall call;
        call.method = "POST";
        call.address = this->entries[entry];
        call.path = "/v1/jobs";
        call.body = body;
        this->client.send(call, [this, id, body, entry, retries](const HttpCallResult &result) {
            --this->openCalls;
            const auto json = nlohmann::json::parse(result.body, nullptr, false);
            const bool isAnswer = result.state == HttpCallState::Answered && json.is_object();
            const bool shouldRetry = !isAnswer || json.value("retry", "") == "retry-with-same-id";
            // A retry goes to the next entry node, as from a load balancer.
            if (shouldRetry && retries > 0) {
                this->send(id, body, (entry + 1) % this->entries.size(), retries - 1);
                return;
            }
            const std::string state = isAnswer ? json.value("state", "error") : "no-answer";
            ++this->outcomeCounts[state];
            if (this->answerFile.is_open())
                this->answerFile << nlohmann::json({ { "id", id.str() },
                                                     { "answer", isAnswer ? json : nullptr } })
                                        .dump()
                                 << std::endl;
        });
    }

    EventLoop loop;
    HttpClient client;
    std::mt19937_64 random;
    std::vector<Address> entries;
    std::vector<std::string> domains;
    std::ofstream answerFile;
    std::map<std::string, int> outcomeCounts;
    int submittedJobs = 0;
    int openCalls = 0;
};

} // namespace
} // namespace Hibiscus

/** \brief A stand-in caller for tests and the demo. */
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    return Hibiscus::StandInCaller().run();
}
