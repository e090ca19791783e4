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
struct followed_topic : loop_fixture {
    followed_topic() { follow(milliseconds{50}); }

    /// Makes the copy, which starts a read at most every `pace`.
    auto follow(duration pace) -> void
    {
        store_topic::hooks hooks;
        hooks.on_availability = [this](bool is_available) { changes += is_available ? "+" : "-"; };
        topic = std::make_unique<store_topic>(
            loop, client, events,
            topic_options{"keyed.test", duration::zero(), pace, milliseconds{300}, true},
            std::move(hooks));
    }

    fake_store store{loop};
    unary_client client{loop, store.address(), {}};
    manual_clock time;
    event_log events{time, -1, "i1", "z1"};
    std::string changes;
    std::unique_ptr<store_topic> topic;
};

BOOST_FIXTURE_TEST_SUITE(a_store_topic, followed_topic)

BOOST_AUTO_TEST_SUITE(whose_store_was_away)

// Guards against a configuration that is read late after a cut: the store answered another call
// already while this topic still waited for its next attempt.
BOOST_AUTO_TEST_CASE(is_read_at_once_when_the_store_answered_another_call)
{
    store.put("keyed.test", "config", "1");
    topic->start();
    run_until([&] { return topic->is_available(); });
    store.is_down = true;
    // By then the pause between attempts has grown to its longest.
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

// Guards against a configuration that arrives three seconds late: an instance with a small link
// read every version that it had missed.
BOOST_AUTO_TEST_CASE(reads_only_the_newest_of_what_it_missed)
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
    auto newest = store.newest_reads;
    store.is_down = false;
    run_until([&] { return topic->is_available(); });
    BOOST_TEST(store.newest_reads > newest);
    BOOST_TEST(topic->records().at("config") == "4");
    BOOST_TEST(!topic->records().contains("zone"));
    // It follows the log again from there.
    store.put("keyed.test", "config", "5");
    run_until([&] { return topic->records().at("config") == "5"; });
}

// Guards against calls, which are billed, for a topic that needs none.
BOOST_AUTO_TEST_CASE(is_left_alone_while_it_can_be_read)
{
    follow(std::chrono::seconds{30});
    store.put("keyed.test", "config", "1");
    topic->start();
    run_until([&] { return topic->is_available(); });
    auto calls = store.calls;
    topic->retry();
    run_for(milliseconds{100});
    BOOST_TEST(store.calls == calls);
    BOOST_TEST(changes == "+");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
