#include "core/peer/peer_service.h"

#include "core/peer/peer_codec.h"

#include <kj/async.h>

#include <memory>
#include <utility>

namespace buckthornspar::peer {

namespace {

// Wraps a fulfiller in a completion that can be copied and called from any thread. When the last
// copy is destroyed without having been called, the fulfiller rejects the promise and the caller
// sees a failed call.
template <typename T>
std::function<void(T)> make_completion(kj::Own<kj::CrossThreadPromiseFulfiller<T>> fulfiller) {
    auto shared = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(kj::mv(fulfiller));
    return [shared](T value) { (*shared)->fulfill(kj::mv(value)); };
}

template <typename Context>
kj::Promise<void> forward_job_call(peer_handler& handler, job_call call, Context context) {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<job_reply>();
    handler.on_job_call(std::move(call), make_completion<job_reply>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](const job_reply& reply) mutable {
        encode(reply, context.getResults().initReply());
    });
}

template <typename Context>
kj::Promise<void> forward_call_by_job_id(peer_handler& handler, job_operation operation,
                                         Context context) {
    const auto params = context.getParams();
    job_call call;
    call.operation = operation;
    call.from = decode(params.getSender());
    call.shard = std::string(params.getShard().begin(), params.getShard().size());
    call.job_or_id = std::string(params.getId().begin(), params.getId().size());
    return forward_job_call(handler, std::move(call), context);
}

job_reply wrong_role_reply() {
    job_reply reply;
    reply.status = reply_status::refused;
    reply.error_type = "wrong_role";
    reply.error_detail = "the role of this process does not serve job calls";
    return reply;
}

} // namespace

// The parameters are passed by value because overriding classes store them.
// NOLINTBEGIN(performance-unnecessary-value-param)
void peer_handler::on_job_call(job_call, std::function<void(job_reply)> complete) {
    complete(wrong_role_reply());
}

void peer_handler::on_config_since(const sender&, std::uint64_t,
                                   std::function<void(config_records)> complete) {
    complete({});
}

void peer_handler::on_config_announced(const sender&, std::vector<config_record>,
                                       std::function<void(std::uint64_t)> complete) {
    complete(0);
}

// NOLINTEND(performance-unnecessary-value-param)

kj::Promise<void> peer_service::heartbeat(HeartbeatContext context) {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<peer::heartbeat>();
    m_handler.on_heartbeat(decode(context.getParams().getBeat()),
                           make_completion<peer::heartbeat>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](const peer::heartbeat& reply) mutable {
        encode(reply, context.getResults().initReply());
    });
}

kj::Promise<void> peer_service::submitJob(SubmitJobContext context) {
    const auto params = context.getParams();
    job_call call;
    call.operation = job_operation::submit;
    call.from = decode(params.getSender());
    call.shard = std::string(params.getShard().begin(), params.getShard().size());
    call.job_or_id = std::string(params.getJob().begin(), params.getJob().size());
    call.deadline_ms = params.getDeadlineMs();
    return forward_job_call(m_handler, std::move(call), context);
}

kj::Promise<void> peer_service::jobStatus(JobStatusContext context) {
    return forward_call_by_job_id(m_handler, job_operation::status, context);
}

kj::Promise<void> peer_service::explainJob(ExplainJobContext context) {
    return forward_call_by_job_id(m_handler, job_operation::explain, context);
}

kj::Promise<void> peer_service::cancelJob(CancelJobContext context) {
    return forward_call_by_job_id(m_handler, job_operation::cancel, context);
}

kj::Promise<void> peer_service::configSince(ConfigSinceContext context) {
    const auto params = context.getParams();
    auto pair = kj::newPromiseAndCrossThreadFulfiller<config_records>();
    m_handler.on_config_since(decode(params.getSender()), params.getVersion(),
                              make_completion<config_records>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](const config_records& reply) mutable {
        auto results = context.getResults();
        results.setInForce(reply.in_force);
        encode(reply.records, results.initRecords(static_cast<unsigned>(reply.records.size())));
    });
}

kj::Promise<void> peer_service::announceConfig(AnnounceConfigContext context) {
    const auto params = context.getParams();
    auto pair = kj::newPromiseAndCrossThreadFulfiller<std::uint64_t>();
    m_handler.on_config_announced(decode(params.getSender()), decode(params.getRecords()),
                                  make_completion<std::uint64_t>(kj::mv(pair.fulfiller)));
    return pair.promise.then(
        [context](std::uint64_t in_force) mutable { context.getResults().setInForce(in_force); });
}

kj::Promise<void> peer_service::slotDemand(SlotDemandContext context) {
    const auto params = context.getParams();
    m_handler.on_slot_demand(decode(params.getSender()), decode(params.getDemand()));
    return kj::READY_NOW;
}

kj::Promise<void> peer_service::slotGrant(SlotGrantContext context) {
    const auto params = context.getParams();
    m_handler.on_slot_grant(decode(params.getSender()), decode(params.getGrant()));
    return kj::READY_NOW;
}

kj::Promise<void> peer_service::quotaMessages(QuotaMessagesContext context) {
    const auto params = context.getParams();
    m_handler.on_quota_messages(decode(params.getSender()), decode(params.getMessages()));
    return kj::READY_NOW;
}

} // namespace buckthornspar::peer
