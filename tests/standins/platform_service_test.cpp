#include "standins/platform_service.h"
#include "tests/standins/fake_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct platform_fixture {
    manual_scheduler time;
    platform_service service{{3, seconds{3}},
                             {[this] { return time.now(); },
                              [this](duration delay, platform_service::function work) {
                                  time.schedule(delay, std::move(work));
                              }}};

    auto send(const char* method, const std::string& path, const std::string& body = {},
              std::uint16_t port = 1) -> std::shared_ptr<fake_exchange>
    {
        auto out = std::make_shared<fake_exchange>(method, path, body);
        service.handle(port, out);
        return out;
    }
    auto append(const std::string& data) { return send("POST", "/streams/config/records", data); }
    auto read(const std::string& query, std::uint16_t port = 1)
    {
        return send("GET", "/streams/config/records?" + query, {}, port);
    }
    auto set_faults(const std::string& json) -> int
    {
        return send("POST", "/faults", json)->head.status;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_stand_in_platform, platform_fixture)

// Guards against offsets that change or repeat when retention drops records.
BOOST_AUTO_TEST_CASE(retains_the_newest_records_under_their_offsets)
{
    for (const auto* it : {"a", "b", "c", "d"}) {
        append(it);
    }
    auto page = read("from=0&limit=2")->json();
    BOOST_TEST(page["first"] == 1);
    BOOST_TEST(page["end"] == 4);
    BOOST_TEST(page["records"].size() == 2U);
    BOOST_TEST(page["records"][0] == nlohmann::json({{"offset", 1}, {"data", "Yg=="}}));
    BOOST_TEST(set_faults(R"({"truncate":{"stream":"config","first":3}})") == 200);
    BOOST_TEST(read("from=0&limit=9")->json()["first"] == 3);
}

// Guards against long polls that never end, or end before a record arrives.
BOOST_AUTO_TEST_CASE(answers_a_long_poll_with_the_next_record_or_at_its_timeout)
{
    auto woken = read("from=0&limit=9&wait_ms=1000");
    time.advance(milliseconds{900});
    BOOST_TEST(!woken->finished);
    append("a");
    BOOST_TEST(woken->json()["records"].size() == 1U);
    auto ended = read("from=1&limit=9&wait_ms=1000");
    time.advance(milliseconds{1000});
    BOOST_TEST(ended->json()["records"].empty());
    auto closed = read("from=1&limit=9&wait_ms=1000");
    closed->on_closed();
    append("b");
    BOOST_TEST(!closed->finished);
}

// Guards against fault injection without effect, on which the tests of the router rely.
BOOST_AUTO_TEST_CASE(injects_faults)
{
    BOOST_TEST(set_faults(R"({"lose_append_answers":{"stream":"config","count":1}})") == 200);
    BOOST_TEST(append("a")->aborted);
    BOOST_TEST(append("b")->json()["offset"] == 1);
    auto waiting = read("from=2&wait_ms=9000", 2);
    BOOST_TEST(set_faults(R"({"port":2,"down":true})") == 200);
    BOOST_TEST(waiting->aborted);
    BOOST_TEST(read("from=0", 2)->aborted);
    BOOST_TEST(read("from=0", 1)->finished);
    BOOST_TEST(set_faults(R"({"port":2,"down":false,"hang":true})") == 200);
    auto hung = read("from=0", 2);
    time.advance(seconds{100});
    BOOST_TEST((!hung->finished && !hung->aborted));
    BOOST_TEST(set_faults(R"({"port":2,"hang":false,"slow_ms":50})") == 200);
    auto slow = read("from=0", 2);
    BOOST_TEST(!slow->finished);
    time.advance(milliseconds{50});
    BOOST_TEST(slow->finished);
    BOOST_TEST(set_faults("[]") == 400);
    BOOST_TEST(set_faults(R"({"down":7})") == 400);
}

// Guards against a stand-in whose instance list is always correct: the list of a real platform can
// be outdated or wrong.
BOOST_AUTO_TEST_CASE(lists_outdated_and_false_instances_on_request)
{
    auto put = [&] { return send("PUT", "/instances/i1", R"({"id":"i1","zone":"a"})"); };
    auto count = [&] { return send("GET", "/instances")->json().size(); };
    BOOST_TEST(put()->head.status == 200);
    BOOST_TEST(count() == 1U);
    time.advance(seconds{4});
    BOOST_TEST(count() == 0U);
    BOOST_TEST(set_faults(R"({"list_lag_ms":2000})") == 200);
    put();
    BOOST_TEST(count() == 0U);
    time.advance(seconds{2});
    BOOST_TEST(count() == 1U);
    BOOST_TEST(set_faults(R"({"list_hide":["i1"],"list_add":[{"id":"x"},{"id":"y"}]})") == 200);
    BOOST_TEST(count() == 2U);
    BOOST_TEST(send("PUT", "/instances/i1", R"({"id":"i2"})")->head.status == 400);
    BOOST_TEST(send("GET", "/elsewhere")->head.status == 404);
}

BOOST_AUTO_TEST_SUITE_END()
