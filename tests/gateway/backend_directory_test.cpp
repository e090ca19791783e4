#include "core/manual_clock.h"
#include "gateway/backend_directory.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct directory_fixture {
    manual_clock time;
    event_log log{time, -1, "i1", "z1"};
    backend_directory directory{log};

    directory_fixture() { directory.add_services({service_id{"s"}}); }

    static auto entry(int sequence, std::int64_t born = 1000, const std::string& state = "ready",
                      const std::string& cold = "0ms") -> std::string
    {
        return R"({"Addr":"127.0.0.1:1000","Info":{"Service":"s","Version":"v1","Zone":"z1","Slots":2},)"
               R"("Status":{"State":")" +
               state + R"(","Seq":)" + std::to_string(sequence) + R"(,"ColdLeft":")" + cold +
               R"("},"born":)" + std::to_string(born) + "}";
    }

    static auto of_service(std::string value, const std::string& service) -> std::string
    {
        return value.replace(value.find("\"s\""), 3, '"' + service + '"');
    }

    auto apply(const std::string& value) -> void { directory.apply("a", value, time.now()); }
    auto server() const -> const directory_server* { return directory.find(server_id{"a"}); }
    auto schedulable(bool is_keyed = false) const -> schedulable_server
    {
        return directory.schedulable(service_id{"s"}, is_keyed, time.now()).at(0);
    }
};

BOOST_FIXTURE_TEST_SUITE(a_backend_directory, directory_fixture)

BOOST_AUTO_TEST_CASE(keeps_the_newest_heartbeat)
{
    apply(entry(5));
    apply(entry(4));
    BOOST_TEST(server()->entry.sequence == 5U);
    // A restarted server starts its sequence anew.
    apply(entry(1, 2000));
    BOOST_TEST(server()->entry.sequence == 1U);
    apply(entry(9, 1000));
    BOOST_TEST(server()->entry.incarnation.value() == 2000);
}

BOOST_AUTO_TEST_CASE(does_not_add_a_removed_server_again_for_a_late_record)
{
    apply(entry(5));
    apply("");
    BOOST_TEST(server() == nullptr);
    apply(entry(5));
    BOOST_TEST(server() == nullptr);
    apply(entry(6));
    BOOST_TEST(server() != nullptr);
}

// Guards against an outdated entry, as after an outage of the store, that puts a server that is
// shutting down back into use.
BOOST_AUTO_TEST_CASE(prefers_the_announcement_of_a_shutdown_to_the_entry)
{
    apply(entry(5));
    BOOST_TEST(directory.on_shutdown_announced(server_id{"a"}, 1000, time.now()));
    BOOST_TEST(!schedulable().is_usable);
    BOOST_TEST(directory.eligible_owners(service_id{"s"}, time.now()).empty());
    apply(entry(6));
    apply("");
    apply(entry(7));
    directory.set_store_available(false, time.now());
    directory.set_store_available(true, time.now());
    directory.set_cold(server_id{"a"}, duration::zero(), time.now());
    BOOST_TEST(!schedulable().is_usable);
    // The server's next process has announced no shutdown.
    apply(entry(1, 2000));
    BOOST_TEST(schedulable().is_usable);
}

BOOST_AUTO_TEST_CASE(sends_no_new_requests_to_a_draining_server)
{
    apply(entry(1));
    apply(entry(2, 1000, "draining"));
    BOOST_TEST(!schedulable().is_usable);
    // The server still serves its keys until they have been moved.
    BOOST_TEST(schedulable(true).is_usable);
    time.advance(seconds{1});
    BOOST_TEST(!schedulable(true).is_usable);
    BOOST_TEST(directory.eligible_owners(service_id{"s"}, time.now()).empty());
}

// Guards against the loss of all servers when their entries expire during an outage of the store.
BOOST_AUTO_TEST_CASE(keeps_servers_for_a_while_whose_entries_lapsed_during_an_outage)
{
    apply(entry(1));
    directory.set_store_available(false, time.now());
    time.advance(seconds{5});
    directory.set_store_available(true, time.now());
    apply("");
    BOOST_TEST(server() != nullptr);
    time.advance(seconds{1});
    directory.tick(time.now());
    BOOST_TEST(server() != nullptr);
    time.advance(seconds{2});
    directory.tick(time.now());
    BOOST_TEST(server() == nullptr);
}

BOOST_AUTO_TEST_CASE(keeps_a_server_whose_entry_is_written_again_in_time)
{
    apply(entry(1));
    directory.set_store_available(false, time.now());
    directory.set_store_available(true, time.now());
    apply("");
    time.advance(seconds{1});
    apply(entry(2));
    time.advance(seconds{5});
    directory.tick(time.now());
    BOOST_TEST(server() != nullptr);
}

// Guards against requests and key leases that wait for a server whose address another process has
// taken over: the platform assigns an address again only after its process has ended.
BOOST_AUTO_TEST_CASE(removes_a_server_whose_address_a_later_process_registers)
{
    std::vector<std::string> ended;
    directory.set_on_ended([&](const service_id& service, const server_id& id, std::int64_t born) {
        ended.push_back(service.value() + " " + id.value() + " " + std::to_string(born));
    });
    apply(entry(5, 1000));
    // The entry of an earlier process may be read late.
    directory.apply("early", entry(1, 900), time.now());
    directory.apply("unknown-start", entry(1, 0), time.now());
    BOOST_TEST(server() != nullptr);
    BOOST_TEST(ended.empty());

    directory.apply("later", entry(1, 2000), time.now());
    BOOST_TEST(server() == nullptr);
    BOOST_TEST(ended == (std::vector<std::string>{"s a 1000", "s early 900"}));
    // A late heartbeat of the ended process does not bring it back.
    apply(entry(5, 1000));
    BOOST_TEST(server() == nullptr);
}

BOOST_AUTO_TEST_SUITE(beside_entries_of_services_that_no_configuration_names)

// Guards against the release of a live server's keys: such an entry proves no server's end.
BOOST_AUTO_TEST_CASE(keeps_a_server_at_the_same_address)
{
    int ended = 0;
    directory.set_on_ended([&](const service_id&, const server_id&, std::int64_t) { ++ended; });
    apply(entry(5, 1000));
    auto revision = directory.revision();
    directory.apply("other", of_service(entry(1, 2000), "metrics"), time.now());
    directory.apply("other", "", time.now());
    BOOST_TEST(server() != nullptr);
    BOOST_TEST(directory.size() == 1U);
    BOOST_TEST(directory.revision() == revision);
    BOOST_TEST(ended == 0);
}

// Guards against a server whose heartbeats are ignored because another writer's entry of the same
// id has a later start.
BOOST_AUTO_TEST_CASE(keeps_a_server_of_the_same_id)
{
    apply(entry(5, 1000));
    apply(of_service(entry(1, 2000), "metrics"));
    BOOST_TEST(server()->entry.service.value() == "s");
    apply(entry(6, 1000, "draining"));
    BOOST_TEST(server()->entry.is_draining);
    directory.add_services({service_id{"metrics"}});
    BOOST_TEST(server()->entry.service.value() == "s");
}

// Guards against servers of a new service that are missing until their next heartbeat, and against
// requests to the server that had their address before.
BOOST_AUTO_TEST_CASE(applies_them_once_a_configuration_names_the_service)
{
    std::string ended;
    directory.set_on_ended(
        [&](const service_id&, const server_id& id, std::int64_t) { ended = id.value(); });
    apply(entry(5, 1000));
    directory.apply("later", of_service(entry(1, 2000, "ready", "3s"), "new"), time.now());
    directory.apply("gone", of_service(entry(1, 2000), "new"), time.now());
    directory.apply("gone", "", time.now());
    time.advance(seconds{1});
    directory.add_services({service_id{"s"}, service_id{"new"}});
    BOOST_TEST(ended == "a");
    auto servers = directory.schedulable(service_id{"new"}, false, time.now());
    BOOST_REQUIRE(servers.size() == 1U);
    // The cold time counts from when the entry was read.
    BOOST_TEST((servers[0].cold_until == time.now() + seconds{2}));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against full load on servers that turned cold while their zone was evacuated, before a
// heartbeat has reported it.
BOOST_AUTO_TEST_CASE(presumes_the_servers_of_a_returning_zone_to_be_cold)
{
    apply(entry(1));
    directory.set_evacuated({zone_id{"z1"}}, time.now());
    BOOST_TEST(!schedulable().is_usable);
    time.advance(seconds{5});
    directory.set_evacuated({}, time.now());
    BOOST_TEST(schedulable().is_usable);
    BOOST_TEST((schedulable().cold_until > time.now()));
    // This heartbeat may have been written before the return.
    time.advance(milliseconds{300});
    apply(entry(2));
    BOOST_TEST((schedulable().cold_until > time.now()));
    time.advance(seconds{1});
    apply(entry(3));
    BOOST_TEST((schedulable().cold_until <= time.now()));
}

BOOST_AUTO_TEST_CASE(treats_a_server_as_cold_for_the_time_that_its_heartbeat_reports)
{
    apply(entry(1, 1000, "ready", "1500ms"));
    BOOST_TEST((schedulable().cold_until == time.now() + milliseconds{1500}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
