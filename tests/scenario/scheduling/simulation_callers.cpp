#include "scenario/scheduling/simulation.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

// The callers of the simulated schedulers: submissions and cancellations with their retries.

namespace buckthornspar::scenario {

using namespace scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr common::duration reply_timeout = seconds(3);

} // namespace

void simulation::submit(job_spec job, common::duration retry_for) {
    m_jobs[job.id] = job;
    auto call = std::make_shared<caller_call>();
    call->job = std::move(job);
    call->give_up_at = now() + retry_for;
    calls.push_back(call);
    attempt(call);
}

void simulation::cancel(const std::string& job) {
    auto call = std::make_shared<caller_call>();
    call->cancel = true;
    call->job.id = job;
    call->give_up_at = now() + seconds(60);
    calls.push_back(call);
    attempt(call);
}

std::string simulation::choose_scheduler(std::uint64_t attempt_number) const {
    std::string found = owner();
    // Some attempts go to another scheduler, like those of callers with an outdated owner hint.
    if (!found.empty() && attempt_number % 3 != 0) {
        return found;
    }
    auto position = schedulers.begin();
    std::advance(position, static_cast<std::ptrdiff_t>(attempt_number % schedulers.size()));
    return position->first;
}

void simulation::attempt(const std::shared_ptr<caller_call>& call) {
    if (call->answer || now() >= call->give_up_at) {
        return;
    }
    const std::string to = choose_scheduler(++call->attempt);
    const std::uint64_t generation = schedulers.at(to).generation;
    const std::uint64_t number = call->attempt;
    transmit("caller", to, [this, call, to, generation] {
        auto& s = schedulers.at(to);
        if (!s.engine || s.generation != generation) {
            return;
        }
        const std::uint64_t ticket = m_next_ticket++;
        m_tickets[ticket] = call;
        s.open_tickets.insert(ticket);
        deliver(to, generation, [this, call, ticket](shard_engine& engine) {
            const auto deadline = now() + seconds(2);
            if (call->cancel) {
                engine.on_cancel(now(), ticket, call->job.id, deadline);
            } else {
                engine.on_submit(now(), ticket, call->job, deadline);
            }
        });
    });
    m_events.after(reply_timeout, [this, call, number] {
        if (!call->answer && call->attempt == number) {
            call->maybe_executed = true;
            attempt(call);
        }
    });
}

void simulation::on_reply(const std::string& id, std::uint64_t ticket, const job_reply& reply) {
    if (schedulers.at(id).open_tickets.erase(ticket) == 0) {
        throw violation("ticket " + std::to_string(ticket) + " has a second reply");
    }
    const auto call = m_tickets.at(ticket);
    trace(id, "reply to " + call->job.id + " " + reply.body + std::string(to_string(reply.reason)) +
                  " " + reply.detail);
    transmit(id, "caller", [this, call, reply] {
        if (call->answer) {
            return;
        }
        const bool retry =
            reply.status == reply_status::not_owner || reply.outcome == execution_status::unknown ||
            reply.reason == refusal::store_unavailable || reply.reason == refusal::draining;
        const bool answered =
            reply.status == reply_status::accepted || reply.status == reply_status::ok;
        if (answered || !retry || now() + milliseconds(200) >= call->give_up_at) {
            call->answer = reply;
            return;
        }
        call->maybe_executed = call->maybe_executed || (reply.status == reply_status::refused &&
                                                        reply.outcome == execution_status::unknown);
        const std::uint64_t number = call->attempt;
        m_events.after(milliseconds(200), [this, call, number] {
            if (call->attempt == number) {
                attempt(call);
            }
        });
    });
}

} // namespace buckthornspar::scenario
