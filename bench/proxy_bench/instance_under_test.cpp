#include "bench/proxy_bench/instance_under_test.h"

#include <ctime>
#include <future>

namespace cornelswitch::bench {

namespace {

auto ignore_message(agent_message) -> void {}

auto thread_cpu_time(event_loop& loop) -> duration
{
    std::promise<duration> used;
    loop.post([&] {
        timespec now{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
        used.set_value(std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec});
    });
    return used.get_future().get();
}

} // namespace

instance_under_test::instance_under_test(const endpoint& server, std::uint32_t concurrency)
{
    dispatcher_options dispatcher;
    dispatcher.self = instance_id{"i1"};
    dispatcher.boot = boot_id{1};
    dispatcher.server.address = {"127.0.0.1", 0};
    dispatcher_ = std::make_unique<dispatcher_task>(dispatcher_loop_, dispatcher, time_, log_,
                                                    ignore_message);
    dispatcher_->open().value();
    entry_options entry;
    entry.self = instance_id{"i1"};
    entry.zone = zone_id{"z1"};
    entry.server.address = {"127.0.0.1", 0};
    entry_ = std::make_unique<entry_task>(entry_loop_, entry, time_, log_, ignore_message);
    entry_->open().value();
    publish(server, concurrency);
    entry_thread_ = std::thread{[this] { entry_loop_.run(); }};
    dispatcher_thread_ = std::thread{[this] { dispatcher_loop_.run(); }};
}

instance_under_test::~instance_under_test()
{
    entry_loop_.stop();
    entry_thread_.join();
    dispatcher_loop_.stop();
    dispatcher_thread_.join();
    entry_.reset();
    dispatcher_.reset();
}

auto instance_under_test::publish(const endpoint& server, std::uint32_t concurrency) -> void
{
    auto service = std::make_shared<service_view>();
    service->config.name = service_id{"lookup"};
    service->config.hash_slots = 16;
    service->config.servers = {
        {server_id{"s1"}, zone_id{"z1"}, server, concurrency, concurrency + 4, false}};
    service->policy.default_deadline = std::chrono::seconds{30};
    service->policy.queue_limit = concurrency;
    service->policy.warmup_start = concurrency;
    service->slots.assign(service->config.hash_slots, slot_route{0, {1, 0}});
    dispatcher_assignment assignment;
    assignment.service = service->config.name;
    assignment.server = service->config.servers.front();
    assignment.policy = service->policy;
    assignment.idempotent_methods = service->config.idempotent_methods;
    assignment.term = lease_term{1};
    assignment.acquired_at = time_.now();
    assignment.valid_until = time_.now() + std::chrono::hours{1};
    for (std::uint32_t n = 0; n < service->config.hash_slots; ++n) {
        assignment.slots.push_back({slot_index{n}, {1, 0}});
    }
    dispatcher_->handle(assignment);
    auto view = std::make_shared<routing_view>();
    instance_id self{"i1"};
    view->services[service->config.name] = service;
    view->instances[self] = {self, zone_id{"z1"}, dispatcher_->address(), true};
    view->dispatchers[server_id{"s1"}] = self;
    view->ready = true;
    entry_->handle(view_changed{view});
}

auto instance_under_test::cpu_time() -> duration
{
    return thread_cpu_time(entry_loop_) + thread_cpu_time(dispatcher_loop_);
}

} // namespace cornelswitch::bench
