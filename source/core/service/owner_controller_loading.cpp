#include "core/common/error.h"
#include "core/common/logging.h"
#include "core/service/owner_controller.h"
#include "core/service/store_keys.h"

#include <algorithm>
#include <set>

namespace buckthornspar::service {

using common::log_event;
using common::severity;
using namespace dispatch;

namespace {

// Workers write their entries every second or two, and each write is an event that the
// interval batches.
constexpr auto min_worker_watch_interval = std::chrono::milliseconds(300);
// Accepted jobs should be seen at once; the interval limits the watch calls under load.
constexpr auto min_active_watch_interval = std::chrono::milliseconds(15);
// Short, because starts are permitted only for a limited time after an answered call was sent.
constexpr auto watch_wait = std::chrono::milliseconds(500);
constexpr auto load_retry_delay = std::chrono::milliseconds(100);
// With a page that takes longer than this, three pages at the same time would not arrive within the
// time limit of their calls, and would be asked for again.
constexpr auto max_parallel_page_time = std::chrono::milliseconds(300);
// Longest time for which the loading of records holds up the event loop.
constexpr auto load_step_time = std::chrono::milliseconds(10);

std::string without_prefix(const std::string& key, std::string_view prefix) {
    return key.substr(prefix.size());
}

// Why the items show the loss of the ownership with this fence; empty when they do not. The owner's
// key sorts behind the cancel requests and jobs, so that a read in pages reaches it last: with the
// revision of the claim it shows that no other owner had claimed when the earlier pages were read.
std::string_view ownership_loss(const std::vector<store_item>& items, std::uint64_t fence) {
    const auto position = std::find_if(items.begin(), items.end(),
                                       [](const auto& item) { return item.key == owner_key; });
    if (position == items.end()) {
        return "owner_key_missing";
    }
    return position->revision == fence ? "" : "owner_key_changed";
}

} // namespace

void owner_controller::load() {
    const auto self = shared_from_this();
    m_pending_loads = 5;
    load_key(workers_key, &owner_controller::m_workers_record);
    load_key(sequence_key, &owner_controller::m_sequence);
    if (m_env.page_time > max_parallel_page_time) {
        load_in_turn();
        return;
    }
    load_prefix(std::string(active_prefix),
                [self](prefix_contents contents) { self->on_active_loaded(std::move(contents)); });
    load_prefix(std::string(progress_prefix), [self](prefix_contents contents) {
        self->on_progress_loaded(std::move(contents));
    });
    load_prefix(m_env.platform.format().worker_prefix(),
                [self](prefix_contents contents) { self->on_workers_loaded(std::move(contents)); });
}

void owner_controller::load_prefix(const std::string& prefix,
                                   std::function<void(prefix_contents)> complete) {
    read_all(m_env.store, m_env.loop, prefix, make_active_check(), std::move(complete));
}

void owner_controller::load_in_turn() {
    const auto self = shared_from_this();
    load_prefix(m_env.platform.format().worker_prefix(), [self](prefix_contents workers) {
        self->on_workers_loaded(std::move(workers));
        self->load_prefix(std::string(active_prefix), [self](prefix_contents active) {
            self->on_active_loaded(std::move(active));
            self->load_prefix(std::string(progress_prefix), [self](prefix_contents progress) {
                self->on_progress_loaded(std::move(progress));
            });
        });
    });
}

void owner_controller::on_active_loaded(prefix_contents contents) {
    m_active_contents = std::move(contents);
    on_loaded();
}

void owner_controller::on_progress_loaded(prefix_contents contents) {
    m_progress_items = std::move(contents.items);
    on_loaded();
}

void owner_controller::on_workers_loaded(prefix_contents contents) {
    m_worker_contents = std::move(contents);
    on_loaded();
}

void owner_controller::load_key(std::string_view key,
                                std::optional<store_item> owner_controller::*target) {
    m_env.store.read(
        std::string(key), [self = shared_from_this(), key, target](const store_result& result) {
            if (!self->m_active) {
                return;
            }
            if (result.status != store_status::ok && result.status != store_status::not_found) {
                self->m_env.loop.post_after(load_retry_delay, [self, key, target] {
                    if (self->m_active) {
                        self->load_key(key, target);
                    }
                });
                return;
            }
            if (!result.items.empty()) {
                (*self).*target = result.items.front();
            }
            self->on_loaded();
        });
}

void owner_controller::on_loaded() {
    if (--m_pending_loads > 0 || !m_active) {
        return;
    }
    const auto loss = ownership_loss(m_active_contents.items, m_fence);
    if (!loss.empty()) {
        // The watch begins after this read and would not show the change of the key.
        m_env.report_lost(loss);
        return;
    }
    m_sequence_revision = m_sequence ? m_sequence->revision : 0;
    m_dispatcher.on_queues(m_queues);
    m_dispatcher.on_customers(m_customers);
    load_workers(m_worker_contents.items);
    m_dispatcher.take_over(m_env.clock.now(), m_fence,
                           m_workers_record ? m_workers_record->value : "");
    load_records();
}

void owner_controller::finish_loading() {
    // They may have changed since the loading began.
    m_dispatcher.on_queues(m_queues);
    m_dispatcher.on_customers(m_customers);
    watch_active_keys(m_active_contents);
    watch_worker_entries(m_worker_contents);
    m_active_contents = {};
    m_progress_items = {};
    m_worker_contents = {};
    m_loaded = true;
    process_soon();
}

void owner_controller::load_workers(const std::vector<store_item>& items) {
    for (const auto& item : items) {
        on_worker_item(item);
    }
}

// Thousands of records in one step would hold up the event loop, and with it the renewal of the
// lease, for longer than the lease on a node with a small processor share. A record is released
// once it is loaded, so that an owner does not hold all jobs twice.
void owner_controller::load_records() {
    if (!m_active) {
        return;
    }
    const auto pause_at = m_env.clock.now() + load_step_time;
    auto& active = m_active_contents.items;
    const auto records = active.size() + m_progress_items.size();
    while (m_loaded_records < records) {
        const auto record = m_loaded_records++;
        if (record < active.size()) {
            load_active_item(active[record]);
            std::string().swap(active[record].value);
        } else {
            auto& item = m_progress_items[record - active.size()];
            load_ended_job(item);
            std::string().swap(item.value);
        }
        if (m_env.clock.now() >= pause_at) {
            // Keeps the lease while the process is busy with loading.
            static_cast<void>(m_env.may_act());
            m_env.loop.post([self = shared_from_this()] { self->load_records(); });
            return;
        }
    }
    finish_loading();
}

void owner_controller::load_ended_job(const store_item& item) {
    if (item.value.empty()) {
        // Loaded with its job.
        return;
    }
    const auto id = without_prefix(item.key, progress_prefix);
    try {
        const auto record = read_progress(id, item.value);
        if (is_final(record.state)) {
            const auto now = m_env.clock.now();
            m_env.directory.apply_change(now, {id, record.origin.queue, record.state,
                                               record.accepted_by, record.origin.customer});
            m_ended_jobs.emplace_back(now, id);
        }
    } catch (const common::error& e) {
        log_event(severity::error, "progress_unreadable", {{"job", id}, {"reason", e.what()}});
    }
}

job_progress owner_controller::take_progress(const std::string& id) {
    const auto key = progress_key(id);
    const auto found =
        std::lower_bound(m_progress_items.begin(), m_progress_items.end(), key,
                         [](const store_item& item, const std::string& k) { return item.key < k; });
    if (found == m_progress_items.end() || found->key != key) {
        return {};
    }
    auto progress = read_progress(id, found->value);
    if (!is_final(progress.state)) {
        std::string().swap(found->value);
    }
    return progress;
}

void owner_controller::load_active_item(store_item& item) {
    const auto now = m_env.clock.now();
    if (item.key.starts_with(cancel_prefix)) {
        m_dispatcher.on_cancel(now, without_prefix(item.key, cancel_prefix));
    }
    if (!item.key.starts_with(job_prefix)) {
        return;
    }
    const auto id = without_prefix(item.key, job_prefix);
    try {
        const auto progress = take_progress(id);
        m_dispatcher.on_job(now, read_job(item.value), progress, item.revision);
    } catch (const common::error& e) {
        m_unreadable_jobs.insert(id);
        m_env.counters.get("unreadable_jobs_total").add();
        log_event(severity::error, "job_unreadable", {{"job", id}, {"reason", e.what()}});
    }
}

void owner_controller::watch_active_keys(const prefix_contents& known) {
    prefix_watcher::listener receiver;
    receiver.on_snapshot = [this](const std::vector<store_item>& items, std::uint64_t) {
        on_active_snapshot(items);
    };
    receiver.on_events = [this](const std::vector<store_event>& events) {
        for (const auto& event : events) {
            if (!m_active) {
                return;
            }
            if (event.removed) {
                on_active_removed(event.item.key);
            } else {
                on_active_item(event.item);
            }
        }
        process_soon();
    };
    m_active_watcher =
        std::make_shared<prefix_watcher>(m_env.store, m_env.loop,
                                         watch_settings{std::string(active_prefix), watch_wait,
                                                        min_active_watch_interval, m_env.page_time},
                                         std::move(receiver));
    m_active_watcher->start_after(known.revision, known.read_at);
}

void owner_controller::watch_worker_entries(const prefix_contents& known) {
    prefix_watcher::listener receiver;
    receiver.on_snapshot = [this](const std::vector<store_item>& items, std::uint64_t) {
        on_worker_snapshot(items);
    };
    receiver.on_events = [this](const std::vector<store_event>& events) {
        const auto prefix = m_env.platform.format().worker_prefix();
        for (const auto& event : events) {
            if (event.removed) {
                m_dispatcher.on_worker_unlisted(m_env.clock.now(),
                                                without_prefix(event.item.key, prefix));
            } else {
                on_worker_item(event.item);
            }
        }
        process_soon();
    };
    m_worker_watcher = std::make_shared<prefix_watcher>(
        m_env.store, m_env.loop,
        watch_settings{m_env.platform.format().worker_prefix(), watch_wait,
                       min_worker_watch_interval, m_env.page_time},
        std::move(receiver));
    m_worker_watcher->start_after(known.revision, known.read_at);
}

void owner_controller::on_active_snapshot(const std::vector<store_item>& items) {
    const auto loss = ownership_loss(items, m_fence);
    if (!loss.empty()) {
        m_env.report_lost(loss);
        return;
    }
    for (const auto& item : items) {
        on_active_item(item);
    }
    process_soon();
}

void owner_controller::on_active_item(const store_item& item) {
    const auto now = m_env.clock.now();
    if (item.key == owner_key) {
        if (item.revision != m_fence) {
            m_env.report_lost("owner_key_changed");
        }
        return;
    }
    if (item.key.starts_with(cancel_prefix)) {
        m_dispatcher.on_cancel(now, without_prefix(item.key, cancel_prefix));
        return;
    }
    if (!item.key.starts_with(job_prefix)) {
        return;
    }
    const auto id = without_prefix(item.key, job_prefix);
    const auto known = m_env.directory.state_of(id);
    if (m_unreadable_jobs.contains(id) || (known && is_final(*known))) {
        // The snapshot was read before the key of this ended job was removed, or its progress
        // cannot be read.
        return;
    }
    try {
        m_dispatcher.on_job(now, read_job(item.value), {}, item.revision);
    } catch (const common::error& e) {
        log_event(severity::error, "job_unreadable", {{"job", id}, {"reason", e.what()}});
    }
}

void owner_controller::on_active_removed(const std::string& key) {
    if (key == owner_key) {
        m_env.report_lost("owner_key_removed");
    }
}

void owner_controller::on_worker_snapshot(const std::vector<store_item>& items) {
    const auto prefix = m_env.platform.format().worker_prefix();
    std::set<std::string> listed;
    for (const auto& item : items) {
        listed.insert(without_prefix(item.key, prefix));
        on_worker_item(item);
    }
    const auto now = m_env.clock.now();
    std::vector<std::string> unlisted;
    for (const auto& [id, worker] : m_dispatcher.workers().all()) {
        if (worker.listed && !listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const auto& id : unlisted) {
        m_dispatcher.on_worker_unlisted(now, id);
    }
    process_soon();
}

void owner_controller::on_worker_item(const store_item& item) {
    const auto& format = m_env.platform.format();
    const auto id = without_prefix(item.key, format.worker_prefix());
    try {
        m_dispatcher.on_worker(m_env.clock.now(), format.read_worker(id, item.value));
    } catch (const common::error& e) {
        // A worker whose entry cannot be parsed must not be used.
        m_env.counters.get("unreadable_entries_total").add();
        log_event(severity::warning, "worker_entry_unreadable",
                  {{"worker", id}, {"reason", e.what()}});
        m_dispatcher.on_worker_unlisted(m_env.clock.now(), id);
    }
}

} // namespace buckthornspar::service
