#include "adapters/h2o/http_server.h"
#include "adapters/platform/http_instance_list.h"
#include "adapters/platform/http_log_service.h"
#include "cli/blocking_log.h"
#include "standins/platform_service.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace cornelswitch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The platform adapters and the stand-in on one event loop, connected by real sockets.
struct sockets_fixture {
    event_loop loop;
    platform_service service{{100, seconds{30}},
                             {[this] { return loop.now(); },
                              [this](duration delay, platform_service::function work) {
                                  loop.schedule(delay, std::move(work));
                              }}};
    std::unique_ptr<http_server> server{open()};
    http_log_service log{loop, {server->address(), milliseconds{300}, milliseconds{300}}};
    http_instance_list list{loop, server->address(), milliseconds{300}};
    blocking_log blocking{log, [this] { pump(); }};

    auto open() -> std::unique_ptr<http_server>
    {
        http_server_options options{{"127.0.0.1", 0}};
        return std::move(http_server::open(loop, options, [this](auto call) {
                             service.handle(1, std::move(call));
                         }).value());
    }
    auto pump() -> void { loop.run_once(milliseconds{20}); }
    auto set_faults(const std::string& json) -> void
    {
        http_client client{loop, server->address(), {}};
        auto done = false;
        client.call({"POST", "/faults", {}, json}, seconds{5}, [&](unary_result it) {
            BOOST_TEST(it.value().head.status == 200);
            done = true;
        });
        while (!done) {
            pump();
        }
    }
    auto listed() -> result<std::vector<instance_info>>
    {
        std::optional<result<std::vector<instance_info>>> out;
        list.list([&](auto it) { out = std::move(it); });
        while (!out) {
            pump();
        }
        return std::move(*out);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_platform_over_http, sockets_fixture)

// Guards against records that are changed in transit, and pages that the adapter cannot parse.
BOOST_AUTO_TEST_CASE(returns_the_bytes_that_were_appended)
{
    std::string data{"\0\xff\n binary", 10};
    BOOST_TEST(blocking.append(log_stream::ownership, data).value() == log_offset{0});
    BOOST_TEST(blocking.append(log_stream::ownership, "").value() == log_offset{1});
    auto page = blocking.read(log_stream::ownership, log_offset{0}, 10, duration::zero()).value();
    BOOST_TEST(page.end == log_offset{2});
    BOOST_REQUIRE(page.records.size() == 2U);
    BOOST_TEST(page.records[0].data == data);
    BOOST_TEST(page.records[1].data.empty());
    BOOST_TEST(blocking.read(log_stream::config, log_offset{0}, 10, duration::zero())
                   .value()
                   .records.empty());
}

// Guards against platform faults that look like success or block the caller forever.
BOOST_AUTO_TEST_CASE(reports_an_unavailable_platform_as_a_typed_error)
{
    set_faults(R"({"lose_append_answers":{"stream":"config","count":1}})");
    BOOST_TEST((blocking.append(log_stream::config, "a").error().code == error_code::unavailable));
    auto page = blocking.read(log_stream::config, log_offset{0}, 10, duration::zero()).value();
    BOOST_TEST(page.records.size() == 1U);
    set_faults(R"({"hang":true})");
    BOOST_TEST((blocking.append(log_stream::config, "b").error().code == error_code::timeout));
    BOOST_TEST((listed().error().code == error_code::timeout));
    set_faults(R"({"hang":false,"down":true})");
    BOOST_TEST((listed().error().code == error_code::unavailable));
}

// Guards against one malformed entry that hides all live instances.
BOOST_AUTO_TEST_CASE(lists_instances_and_skips_malformed_entries)
{
    instance_info self{instance_id{"i1"},       boot_id{7},        zone_id{"a"},
                       instance_state::leaving, {"127.0.0.1", 82}, {"127.0.0.1", 81}};
    auto done = false;
    list.publish(self, [&](result<void> it) { done = it.has_value(); });
    while (!done) {
        pump();
    }
    set_faults(R"({"list_add":[7,{"id":"x"},{"id":"y","zone":"a","state":"odd",
                   "control":"127.0.0.1:1","data":"127.0.0.1:2"}]})");
    auto out = listed().value();
    BOOST_REQUIRE(out.size() == 1U);
    BOOST_TEST((out[0] == self));
}

BOOST_AUTO_TEST_SUITE_END()
