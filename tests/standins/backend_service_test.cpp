#include "standins/backend_service.h"
#include "standins/download_file.h"
#include "tests/standins/fake_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;
using std::chrono::milliseconds;

namespace {

struct server_fixture {
    manual_scheduler time;
    backend_service service{options(),
                            {[this] { return time.now(); },
                             [this](duration delay, backend_service::function work) {
                                 time.schedule(delay, std::move(work));
                             },
                             [this](duration pause) { time.advance(pause); }}};
    std::uint64_t version{0};

    static auto options() -> backend_service::options
    {
        backend_service::options out;
        out.id = server_id{"s1"};
        out.behaviour.service_time = milliseconds{10};
        out.behaviour.cold_limit = 2;
        return out;
    }

    auto send(const char* method, const std::string& path, const std::string& body = {},
              header_list headers = {}) -> std::shared_ptr<fake_exchange>
    {
        auto out = std::make_shared<fake_exchange>(method, path, body, std::move(headers));
        service.handle(out);
        return out;
    }
    auto grant(int term, const char* epoch) -> int
    {
        nlohmann::json body{{"term", term}, {"version", version}, {"ttl_ms", 600}, {"full", true}};
        body["grants"] = {{{"service", "s"}, {"slots", "0-9"}, {"epoch", epoch}}};
        auto call = send("POST", "/_cornelswitch/grants", body.dump());
        version = call->json()["version"];
        return call->head.status;
    }
    auto request(const char* method, const std::string& epoch, const std::string& term)
    {
        return send(method, "/s/key", "body",
                    {{"cornelswitch-slot", "3"},
                     {"cornelswitch-epoch", epoch},
                     {"cornelswitch-term", term},
                     {"cornelswitch-request-id", "b-1"},
                     {"cornelswitch-deadline-ms", "100"}});
    }
    auto executions() { return send("GET", "/_standin/executions")->json(); }
    auto set_behaviour(const std::string& json)
    {
        return send("POST", "/_standin/behaviour", json)->head.status;
    }
};

auto is_not_run(const fake_exchange& it) -> bool
{
    return it.header("cornelswitch-outcome") == "not-run";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_stand_in_server, server_fixture)

// Guards against a stand-in that executes without a valid grant, which would hide two owners.
BOOST_AUTO_TEST_CASE(executes_only_under_a_valid_grant)
{
    BOOST_TEST(is_not_run(*request("POST", "5.0", "3")));
    grant(3, "5.0");
    BOOST_TEST(grant(3, "5.0") == 200);
    auto done = request("POST", "5.0", "3");
    time.advance(milliseconds{10});
    BOOST_TEST(done->json()["count"] == 1);
    BOOST_TEST(is_not_run(*request("POST", "4.9", "3")));
    BOOST_TEST(is_not_run(*request("POST", "5.0", "2")));
    BOOST_TEST(grant(2, "6.0") == 409);
    time.advance(milliseconds{700});
    BOOST_TEST(is_not_run(*request("POST", "5.0", "3")));
    BOOST_TEST(executions()["end"] == 1);
    auto holdings = send("GET", "/_standin/holdings")->json()["holdings"];
    BOOST_TEST(holdings.size() == 10U);
}

// Guards against a frozen server that applies a request after its grant has expired.
BOOST_AUTO_TEST_CASE(applies_nothing_when_the_grant_expires_during_the_request)
{
    grant(3, "5.0");
    grant(3, "5.0");
    BOOST_TEST(set_behaviour(R"({"service_ms":590})") == 200);
    time.advance(milliseconds{50});
    auto late = request("POST", "5.0", "3");
    time.advance(milliseconds{600});
    BOOST_TEST(late->head.status == 409);
    BOOST_TEST(is_not_run(*late));
    BOOST_TEST(executions()["end"] == 0);
}

// Guards against not-run refusals of requests that took effect, and against lost cancellations.
BOOST_AUTO_TEST_CASE(honours_deadline_cancellation_and_drain)
{
    grant(3, "5.0");
    grant(3, "5.0");
    auto canceled = request("POST", "5.0", "3");
    BOOST_TEST(send("POST", "/_cornelswitch/cancel?request=b-1")->json()["canceled"] == true);
    BOOST_TEST(is_not_run(*canceled));
    BOOST_TEST(set_behaviour(R"({"service_ms":150})") == 200);
    auto late = request("POST", "5.0", "3");
    time.advance(milliseconds{150});
    BOOST_TEST(is_not_run(*late));
    BOOST_TEST(set_behaviour(R"({"draining":true,"reported_running":77})") == 200);
    auto refused = request("POST", "5.0", "3");
    BOOST_TEST(is_not_run(*refused));
    BOOST_TEST(refused->header("cornelswitch-running") == "77");
    BOOST_TEST(executions()["end"] == 0);
    BOOST_TEST(set_behaviour(R"({"draining":1})") == 400);
    BOOST_TEST(set_behaviour(R"({"unknown":1})") == 400);
    BOOST_TEST(set_behaviour(R"({"overload":"fall-over"})") == 200);
    BOOST_TEST(set_behaviour(R"({"overload":"other"})") == 400);
}

// Guards against a cold server that accepts any load: tests would not notice a missing warm-up.
BOOST_AUTO_TEST_CASE(crashes_when_cold_and_over_its_limit)
{
    BOOST_TEST(set_behaviour(R"({"concurrency":4,"cold_limit":1,"restart_ms":500})") == 200);
    grant(3, "5.0");
    grant(3, "5.0");
    auto boot = send("GET", "/_cornelswitch/health")->header("cornelswitch-boot");
    auto first = request("GET", "5.0", "3");
    auto second = request("GET", "5.0", "3");
    BOOST_TEST((first->aborted && second->aborted));
    BOOST_TEST(send("GET", "/_cornelswitch/health")->aborted);
    time.advance(milliseconds{500});
    BOOST_TEST(send("GET", "/_cornelswitch/health")->header("cornelswitch-boot") != boot);
    BOOST_TEST(is_not_run(*request("GET", "5.0", "3")));
    BOOST_TEST(send("GET", "/_standin/state")->json()["falls"] == 1);
}

// Guards against a resumed download that combines parts of different versions of a file.
BOOST_AUTO_TEST_CASE(serves_ranges_of_one_file_version)
{
    const download_file file{"a", 1000};
    auto whole = file.bytes(0, 1000);
    BOOST_TEST(file.bytes(123, 77) == whole.substr(123, 77));
    auto selected = [&](const char* range, const std::string& condition = {}) {
        header_list headers{{"range", range}};
        if (!condition.empty()) {
            headers.push_back({"if-range", condition});
        }
        auto it = file.select(headers);
        return std::to_string(it.status) + " " + std::to_string(it.from) + "+" +
               std::to_string(it.length);
    };
    BOOST_TEST(selected("bytes=100-199") == "206 100+100");
    BOOST_TEST(selected("bytes=900-") == "206 900+100");
    BOOST_TEST(selected("bytes=-10") == "206 990+10");
    BOOST_TEST(selected("bytes=1000-") == "416 0+0");
    BOOST_TEST(selected("bytes=9-3") == "200 0+1000");
    BOOST_TEST(selected("bytes=100-", "\"other\"") == "200 0+1000");
    BOOST_TEST(selected("bytes=100-", file.etag()) == "206 100+900");
    BOOST_TEST((download_file{"a", 1001}.etag() != file.etag()));
}

BOOST_AUTO_TEST_SUITE_END()
