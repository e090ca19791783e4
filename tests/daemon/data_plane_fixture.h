#pragma once

#include "adapters/h2o/http_client.h"
#include "adapters/h2o/http_server.h"
#include "adapters/system_clock.h"
#include "core/hash.h"
#include "daemon/dispatcher_task.h"
#include "daemon/entry_task.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/adapters/response_record.h"

#include <memory>
#include <string>
#include <vector>

namespace cornelswitch::test {

/// Clock that a test can set forward, to simulate a pause of the process.
class shifted_clock final : public clock {
public:
    auto now() const -> time_point override { return real_.now() + shift; }
    auto wall_now() const -> wall_time_point override { return real_.wall_now(); }
    duration shift{0};

private:
    system_clock real_;
};

/// One entry, one dispatcher and one backend server on a single event loop. The test acts as the
/// agent: it sends assignments and views. The service `lookup` is keyed, `pay` is not.
struct data_plane_fixture : loop_fixture {
    shifted_clock time;
    std::vector<agent_message> reports;
    /// Requests that the backend server has received, without control messages.
    std::vector<std::shared_ptr<exchange>> backend_requests;
    exchange_handler backend = [](const std::shared_ptr<exchange>& it) {
        it->respond({200, {{"x-path", it->request().path}}, {}}, "answer:" + it->request().body);
    };
    std::unique_ptr<http_server> server;
    std::unique_ptr<dispatcher_task> dispatcher;
    std::unique_ptr<entry_task> entry;
    std::unique_ptr<http_client> caller;
    routing_view view;
    dispatcher_assignment assignment;

    data_plane_fixture()
    {
        server = http_server::open(loop, {{"127.0.0.1", 0}}, [this](const auto& it) {
                     on_backend_request(it);
                 }).value();
        dispatcher_options options;
        options.self = instance_id{"i1"};
        options.boot = boot_id{7};
        options.server.address = {"127.0.0.1", 0};
        options.max_buffered_bytes = 1500;
        auto report = [this](agent_message it) { reports.push_back(std::move(it)); };
        dispatcher = std::make_unique<dispatcher_task>(loop, options, time, log, report);
        BOOST_REQUIRE(dispatcher->open().has_value());
        entry_options entry_settings;
        entry_settings.self = instance_id{"i1"};
        entry_settings.zone = zone_id{"z1"};
        entry_settings.server.address = {"127.0.0.1", 0};
        entry = std::make_unique<entry_task>(loop, entry_settings, time, log, report);
        BOOST_REQUIRE(entry->open().has_value());
        caller = std::make_unique<http_client>(loop, entry->address(), http_client_options{});
        make_view();
        make_assignment("lookup", true);
        publish();
    }

    auto on_backend_request(const std::shared_ptr<exchange>& it) -> void
    {
        if (it->request().path.starts_with("/_cornelswitch/")) {
            on_control(it);
            return;
        }
        backend_requests.push_back(it);
        backend(it);
    }

    exchange_handler on_control = [](const std::shared_ptr<exchange>& it) {
        it->respond({200, {}, {}}, "{}");
    };

    auto service(const std::string& name, bool keyed) -> std::shared_ptr<service_view>
    {
        auto out = std::make_shared<service_view>();
        out->config.name = service_id{name};
        out->config.keyed = keyed;
        out->config.hash_slots = 16;
        out->config.max_request_body = 1000;
        out->config.servers = {server_settings(name)};
        if (keyed) {
            out->slots.assign(16, slot_route{0, {5, 0}});
        }
        return out;
    }

    auto server_settings(const std::string& name) const -> server_config
    {
        return {server_id{name + "-s1"}, zone_id{"z1"}, server->address(), 8, 100, false};
    }

    auto make_view() -> void
    {
        view.version = config_version{1};
        view.services[service_id{"lookup"}] = service("lookup", true);
        view.services[service_id{"pay"}] = service("pay", false);
        for (const auto* name : {"i1", "i2"}) {
            instance_id id{name};
            view.instances[id] = {id, zone_id{"z1"}, dispatcher->address(), true};
        }
        view.dispatchers[server_id{"lookup-s1"}] = instance_id{"i1"};
        view.dispatchers[server_id{"pay-s1"}] = instance_id{"i1"};
        view.ready = true;
    }

    auto make_assignment(const std::string& name, bool keyed) -> void
    {
        const auto& config = view.services[service_id{name}]->config;
        assignment = {};
        assignment.service = config.name;
        assignment.server = config.servers.front();
        assignment.policy = {};
        assignment.policy.warmup_start = 8;
        assignment.keyed = keyed;
        assignment.idempotent_methods = config.idempotent_methods;
        assignment.term = lease_term{3};
        assignment.acquired_at = time.now();
        assignment.valid_until = time.now() + std::chrono::hours{1};
        for (std::uint32_t n = 0; keyed && n < 16; ++n) {
            assignment.slots.push_back({slot_index{n}, {5, 0}});
        }
    }

    auto publish() -> void
    {
        dispatcher->handle(assignment);
        entry->handle(view_changed{std::make_shared<routing_view>(view)});
    }

    auto send(http_request request) -> std::shared_ptr<response_record>
    {
        auto record = std::make_shared<response_record>();
        auto id = std::make_shared<http_client::call_id>(0);
        auto consume = [this, id](std::size_t n) { caller->consumed(*id, n); };
        *id = caller->send(std::move(request), record_to(record, consume));
        last_call = *id;
        return record;
    }

    auto fetch(http_request request) -> std::shared_ptr<response_record>
    {
        auto record = send(std::move(request));
        run_until([&] { return record->end.has_value(); });
        return record;
    }

    auto header(const response_record& it, std::string_view name) const -> std::string
    {
        const auto* text = it.head ? find_header(it.head->headers, name) : nullptr;
        return text != nullptr ? *text : "";
    }

    http_client::call_id last_call{0};
};

} // namespace cornelswitch::test
