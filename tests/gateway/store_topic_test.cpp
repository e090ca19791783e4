#include "core/manual_clock.h"
#include "gateway/store_topic.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/platform/fake_store.h"

#include <boost/test/unit_test.hpp>

#include <memory>

namespace cornelswitch::test {
namespace {

using std::chrono::milliseconds;

/// A copy of one topic of a store.
struct store_topic_fixture : loop_fixture {
    store_topic_fixture() { follow(milliseconds{50}); }

    /// Creates the copy, which starts a read at most once per `min_read_interval`.
    auto follow(duration min_read_interval) -> void
    {
        store_topic::hooks hooks;
        hooks.on_availability = [this](bool is_available) {
            availability_changes += is_available ? "+" : "-";
        };
        topic =
            std::make_unique<store_topic>(loop, client, events,
                                          topic_options{"keyed.test", duration::zero(),
                                                        min_read_interval, milliseconds{300}, true},
                                          std::move(hooks));
    }

    fake_store store{loop};
    unary_client connections{loop, store.address(), {}};
    manual_clock time;
    event_log events{time, -1, "i1", "z1"};
    store_client client{loop, connections, events};
    std::string availability_changes;
    std::unique_ptr<store_topic> topic;
};

BOOST_FIXTURE_TEST_SUITE(a_store_topic, store_topic_fixture)

BOOST_AUTO_TEST_SUITE(whose_store_was_unavailable)

// Guards against a configuration that is read late after an outage: this topic still waits for its
// next retry although the store has already answered another call.
BOOST_AUTO_TEST_CASE(is_read_at_once_when_the_store_has_answered_another_call)
{
    store.put("keyed.test", "config", "1");
    topic->start();
    run_until([&] { return topic->is_available(); });
    store.is_down = true;
    // By then the retry delay has reached its maximum.
    run_for(milliseconds{1500});
    BOOST_TEST(!topic->is_available());
    store.put("keyed.test", "config", "2");
    auto calls = store.calls;
    run_until([&] { return store.calls > calls; });
    store.is_down = false;
    run_for(milliseconds{20});
    auto resumed = loop.now();
    topic->retry();
    run_until([&] { return topic->is_available(); });
    BOOST_TEST((loop.now() - resumed < milliseconds{200}));
    BOOST_TEST(topic->records().at("config") == "2");
}

// Guards against a configuration that takes effect three seconds late because an instance with
// little bandwidth reads every version that it has missed.
BOOST_AUTO_TEST_CASE(reads_only_the_newest_of_the_missed_records)
{
    store.put("keyed.test", "config", "1");
    store.put("keyed.test", "zone", "out");
    topic->start();
    run_until([&] { return topic->is_available(); });
    store.is_down = true;
    run_until([&] { return !topic->is_available(); });
    for (const auto* version : {"2", "3", "4"}) {
        store.put("keyed.test", "config", version);
    }
    store.put("keyed.test", "zone", "");
    auto previous_read_count = store.snapshot_read_count;
    store.is_down = false;
    run_until([&] { return topic->is_available(); });
    BOOST_TEST(store.snapshot_read_count > previous_read_count);
    BOOST_TEST(topic->records().at("config") == "4");
    BOOST_TEST(!topic->records().contains("zone"));
    // The copy follows the log again.
    store.put("keyed.test", "config", "5");
    run_until([&] { return topic->records().at("config") == "5"; });
}

// Guards against unnecessary calls to the store, which are billed.
BOOST_AUTO_TEST_CASE(is_not_read_by_a_retry_while_it_is_available)
{
    follow(std::chrono::seconds{30});
    store.put("keyed.test", "config", "1");
    topic->start();
    run_until([&] { return topic->is_available(); });
    auto calls = store.calls;
    topic->retry();
    run_for(milliseconds{100});
    BOOST_TEST(store.calls == calls);
    BOOST_TEST(availability_changes == "+");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
