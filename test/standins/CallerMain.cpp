#include <Hibiscus/Api>
#include <Hibiscus/Net>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <random>

DEFINE_string(entries, "", "HTTP addresses of entry nodes, with commas");
DEFINE_string(domains, "", "the home domain of the jobs of each entry, with commas");
DEFINE_string(service, "hoso", "the service");
DEFINE_int32(jobs, 10, "how many jobs to submit");
DEFINE_double(rate, 10, "jobs a second");
DEFINE_int32(most_tasks, 12, "jobs have 1 to this many tasks");
DEFINE_int32(most_ms, 200, "tasks take 10 to this many milliseconds");
DEFINE_double(repeatable, 0.0, "share of jobs that are repeatable");
DEFINE_double(resubmitted, 0.0, "share of jobs submitted a second time through another entry");
DEFINE_int32(deadline_ms, 20000, "deadline of each job");
DEFINE_uint64(seed, 1, "seed of everything random");
DEFINE_int32(retries, 0, "how often a job is sent again when the answer says so, or none came");
DEFINE_string(answers, "", "a file that gets a line for each answer");

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

/** \brief A caller that submits jobs at a steady rate and writes down every answer. */
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
            this->answers.open(FLAGS_answers, std::ios::app);
    }

    int run()
    {
        const TimePoint start = this->loop.now();
        this->loop.run(
            1ms,
            [&] {
                const double due = toSeconds(this->loop.now() - start) * FLAGS_rate;
                while (this->submitted < FLAGS_jobs && this->submitted < due)
                    this->submitOne();
                if (this->submitted >= FLAGS_jobs && this->open == 0)
                    this->loop.stop();
            },
            [] {});
        nlohmann::ordered_json summary = { { "jobs", this->submitted } };
        for (const auto &[outcome, count] : this->outcomes)
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
        std::bernoulli_distribution again(FLAGS_resubmitted);
        const std::size_t entry = static_cast<std::size_t>(this->submitted) % this->entries.size();
        ++this->submitted;
        const JobId id(DomainName(this->domains.at(entry)), this->loop.now(),
                       "c" + std::to_string(FLAGS_seed) + "-" + std::to_string(this->submitted));
        nlohmann::json job = { { "id", id.str() },
                               { "service", FLAGS_service },
                               { "team", "demo" },
                               { "repeatable", repeatable(this->random) },
                               { "deadline_ms", FLAGS_deadline_ms } };
        const int count = tasks(this->random);
        for (int i = 0; i < count; ++i)
            job["tasks"].push_back(std::to_string(milliseconds(this->random)));
        this->send(id, job.dump(), entry, FLAGS_retries);
        if (again(this->random))
            this->send(id, job.dump(), (entry + 1) % this->entries.size(), FLAGS_retries);
    }

    void send(const JobId &id, const std::string &body, std::size_t entry, int retries)
    {
        ++this->open;
        HttpCall call;
        call.method = "POST";
        call.address = this->entries[entry];
        call.path = "/v1/jobs";
        call.body = body;
        this->client.send(call, [this, id, body, entry, retries](const HttpCallResult &result) {
            --this->open;
            const auto json = nlohmann::json::parse(result.body, nullptr, false);
            const bool isAnswer = result.state == HttpCallState::Answered && json.is_object();
            const bool shouldRetry = !isAnswer || json.value("retry", "") == "retry-with-same-id";
            // As behind a balancer: the next entry node gets the job.
            if (shouldRetry && retries > 0) {
                this->send(id, body, (entry + 1) % this->entries.size(), retries - 1);
                return;
            }
            const std::string state = isAnswer ? json.value("state", "error") : "no-answer";
            ++this->outcomes[state];
            if (this->answers.is_open())
                this->answers << nlohmann::json({ { "id", id.str() },
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
    std::ofstream answers;
    std::map<std::string, int> outcomes;
    int submitted = 0;
    int open = 0;
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
