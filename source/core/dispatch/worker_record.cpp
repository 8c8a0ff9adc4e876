#include "core/dispatch/worker_record.h"

#include "core/common/error.h"

#include <boost/json.hpp>

#include <algorithm>

namespace buckthornspar::dispatch {

namespace json = boost::json;

namespace {

std::set<std::string> ids_of(const std::vector<worker_report>& workers) {
    std::set<std::string> ids;
    for (const auto& worker : workers) {
        ids.insert(worker.id);
    }
    return ids;
}

recorded_suspect read_suspect(const json::array& row) {
    recorded_suspect result;
    result.worker = json::value_to<std::string>(row.at(0));
    result.start_time_ms = row.at(1).to_number<std::int64_t>();
    auto& [run, attributed, confirmed, silent] = result.suspect;
    run.task.job = json::value_to<std::string>(row.at(2));
    run.task.occurrence = row.at(3).to_number<std::uint32_t>();
    run.task.step = row.at(4).to_number<std::uint32_t>();
    run.task.index = row.at(5).to_number<std::uint32_t>();
    run.run = row.at(6).to_number<std::uint32_t>();
    attributed = row.at(7).as_bool();
    confirmed = row.at(8).as_bool();
    silent = row.at(9).as_bool();
    return result;
}

} // namespace

std::set<std::string> worker_record::quorum_or_all() const {
    return quorum ? *quorum : ids_of(workers);
}

std::string write_worker_record(const worker_record& record) {
    json::array workers;
    for (const auto& worker : record.workers) {
        workers.push_back(json::array{worker.id, worker.service, net::to_string(worker.address),
                                      worker.start_time_ms});
    }
    json::object document{{"term", record.term},
                          {"workers", std::move(workers)},
                          {"silent", json::value_from(record.unresponsive_workers)},
                          {"silent_jobs", json::value_from(record.jobs_on_unresponsive_workers)}};
    if (!record.customers_on_unresponsive_workers.empty()) {
        document["silent_customers"] = json::value_from(record.customers_on_unresponsive_workers);
    }
    if (record.unreported_runs) {
        document["unreported_runs"] = true;
    }
    if (!record.remaining_waits.empty()) {
        json::object waits;
        for (const auto& [id, wait] : record.remaining_waits) {
            // Rounded up.
            waits[id] = common::to_milliseconds(wait) + 1;
        }
        document["remaining_waits"] = std::move(waits);
    }
    if (!record.suspects.empty()) {
        json::array suspects;
        for (const auto& [worker, start_time_ms, suspect] : record.suspects) {
            const auto& [task, run] = suspect.run;
            suspects.push_back(json::array{worker, start_time_ms, task.job, task.occurrence,
                                           task.step, task.index, run, suspect.attributed,
                                           suspect.confirmed, suspect.silent});
        }
        document["suspects"] = std::move(suspects);
    }
    if (record.owners) {
        document["owners"] = json::value_from(*record.owners);
    }
    if (record.quorum) {
        document["quorum"] = json::value_from(*record.quorum);
    }
    return json::serialize(document);
}

worker_record read_worker_record(std::string_view text) {
    if (text.empty()) {
        return {};
    }
    return common::read_document("record of workers", [&] {
        worker_record record;
        const auto value = json::parse(json::string_view(text.data(), text.size()));
        record.term = value.at("term").to_number<std::uint32_t>();
        for (const auto& line : value.at("workers").as_array()) {
            const auto& row = line.as_array();
            worker_report worker;
            worker.id = json::value_to<std::string>(row.at(0));
            worker.service = json::value_to<std::string>(row.at(1));
            worker.address = net::parse_endpoint(json::value_to<std::string>(row.at(2)));
            worker.start_time_ms = row.at(3).to_number<std::int64_t>();
            record.workers.push_back(std::move(worker));
        }
        record.unresponsive_workers = json::value_to<std::set<std::string>>(value.at("silent"));
        record.jobs_on_unresponsive_workers =
            json::value_to<std::set<std::string>>(value.at("silent_jobs"));
        // These are absent in the records of earlier versions.
        if (const auto* const customers = value.as_object().if_contains("silent_customers")) {
            record.customers_on_unresponsive_workers =
                json::value_to<std::set<std::string>>(*customers);
        }
        if (const auto* const unreported = value.as_object().if_contains("unreported_runs")) {
            record.unreported_runs = unreported->as_bool();
        }
        if (const auto* const waits = value.as_object().if_contains("remaining_waits")) {
            for (const auto& [id, wait] : waits->as_object()) {
                record.remaining_waits[id] =
                    std::chrono::milliseconds(wait.to_number<std::uint32_t>());
            }
        }
        if (const auto* const suspects = value.as_object().if_contains("suspects")) {
            for (const auto& line : suspects->as_array()) {
                record.suspects.push_back(read_suspect(line.as_array()));
            }
        }
        if (const auto* const owners = value.as_object().if_contains("owners")) {
            record.owners = json::value_to<std::set<std::string>>(*owners);
        }
        if (const auto* const quorum = value.as_object().if_contains("quorum")) {
            record.quorum = json::value_to<std::set<std::string>>(*quorum);
            const auto all = ids_of(record.workers);
            if (!std::includes(all.begin(), all.end(), record.quorum->begin(),
                               record.quorum->end())) {
                throw common::format_error("the quorum names a worker that is not recorded");
            }
        }
        return record;
    });
}

} // namespace buckthornspar::dispatch
