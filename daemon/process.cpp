#include "daemon/process.h"

#include <random>
#include <utility>

namespace cornelswitch {

namespace {

auto generate_boot_id() -> boot_id
{
    std::random_device device;
    auto high = static_cast<std::uint64_t>(device()) << 32U;
    // The lowest bit is set, because 0 means an unknown boot id.
    return boot_id{(high | device()) | 1U};
}

} // namespace

process::process(settings configured, logger& log)
    : settings_{std::move(configured)}, log_{log}, boot_{generate_boot_id()}
{
    for (std::uint32_t n = 0; n < settings_.entry_threads; ++n) {
        entries_.push_back(std::make_unique<task_thread<entry_task>>());
    }
}

process::~process()
{
    for (auto& entry : entries_) {
        entry->thread.call([&entry] { entry->object.reset(); });
    }
    dispatcher_.thread.call([this] { dispatcher_.object.reset(); });
    agent_.thread.call([this] {
        agent_.object.reset();
        instance_list_.reset();
        log_service_.reset();
    });
}

auto process::start() -> result<void>
{
    BOOST_OUTCOME_TRY(start_dispatcher());
    for (std::size_t n = 0; n < entries_.size(); ++n) {
        BOOST_OUTCOME_TRY(start_entry(*entries_[n], n));
    }
    return start_agent();
}

auto process::start_dispatcher() -> result<void>
{
    dispatcher_options options;
    options.self = settings_.instance;
    options.boot = boot_;
    options.server.address = settings_.listen.data;
    options.metrics = make_metrics_mailbox(entries_.size());
    result<void> out = success();
    dispatcher_.thread.call([&] {
        dispatcher_.object =
            std::make_unique<dispatcher_task>(dispatcher_.thread.loop(), std::move(options), clock_,
                                              log_, agent_.make_mailbox<agent_message>());
        out = dispatcher_.object->open();
    });
    return out;
}

auto process::start_entry(task_thread<entry_task>& entry, std::size_t number) -> result<void>
{
    entry_options options;
    options.self = settings_.instance;
    options.zone = settings_.zone;
    options.server.address = settings_.listen.caller;
    options.server.max_connections = settings_.limits.caller_connections;
    options.max_buffered_bytes = settings_.limits.request_body_memory / settings_.entry_threads;
    options.seed = boot_.value() + number;
    options.metrics = make_metrics_mailbox(number);
    result<void> out = success();
    entry.thread.call([&] {
        entry.object = std::make_unique<entry_task>(entry.thread.loop(), std::move(options), clock_,
                                                    log_, agent_.make_mailbox<agent_message>());
        out = entry.object->open();
    });
    return out;
}

auto process::start_agent() -> result<void>
{
    agent_options options;
    options.self = {settings_.instance,
                    boot_,
                    settings_.zone,
                    instance_state::live,
                    settings_.advertise.control,
                    settings_.advertise.data};
    options.control = settings_.listen.control;
    options.operations = settings_.listen.operations;
    options.shutdown_timeout = settings_.limits.shutdown_timeout;
    http_log_service_options log_options;
    log_options.platform = settings_.platform;
    result<void> out = success();
    agent_.thread.call([&] {
        auto& loop = agent_.thread.loop();
        log_service_ = std::make_unique<http_log_service>(loop, log_options);
        instance_list_ = std::make_unique<http_instance_list>(loop, settings_.platform);
        agent_.object = std::make_unique<agent_task>(loop, std::move(options), make_dependencies());
        out = agent_.object->start();
    });
    return out;
}

auto process::make_metrics_mailbox(std::size_t source)
    -> mailbox<std::shared_ptr<const request_metrics>>
{
    using snapshot = std::shared_ptr<const request_metrics>;
    return agent_.thread.loop().make_mailbox<snapshot>([this, source](snapshot it) {
        if (agent_.object) {
            agent_.object->update_metrics(source, std::move(it));
        }
    });
}

auto process::make_dependencies() -> agent_dependencies
{
    agent_dependencies out{*log_service_,
                           *instance_list_,
                           log_,
                           dispatcher_.make_mailbox<dispatcher_message>(),
                           {},
                           [this] { finished_ = true; }};
    for (auto& it : entries_) {
        out.entries.push_back(it->make_mailbox<entry_message>());
    }
    return out;
}

auto process::shut_down() -> void
{
    agent_.thread.loop().post([this] {
        if (agent_.object) {
            agent_.object->shut_down();
        }
    });
}

} // namespace cornelswitch
