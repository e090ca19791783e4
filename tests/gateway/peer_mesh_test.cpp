#include "gateway/peer_mesh.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/adapters/raw_connection.h"
#include "tests/gateway/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using namespace test;

/// The links of one instance, and a candidate whose bytes the test sends itself.
struct mesh_with_candidate : loop_fixture {
    mesh_with_candidate()
        : events{loop.time(), -1, "self", "z1"}, self{instance_id{"self"},
                                                      zone_id{"z1"},
                                                      {"127.0.0.1", free_port_pair()},
                                                      0.1},
          peer{instance_id{"peer"}, zone_id{"z1"}, listener.address(), 0.5}, it{loop,       events,
                                                                                metrics,    self,
                                                                                boot_id{7}, hooks()}
    {
        BOOST_REQUIRE(it.open().has_value());
        it.set_candidates({&peer});
        run_until([&] { return (session = listener.accept()) != nullptr; });
        session->send(hello());
        run_until([&] { return it.is_up(peer.id); });
    }

    auto hooks() -> peer_mesh::hooks
    {
        peer_mesh::hooks out;
        out.on_link_message = [](const instance_id&, const peer_message&) {};
        out.on_session_message = [](admission_source, const peer_message&) {};
        out.on_link = [this](const instance_id&, bool is_up) {
            if (!is_up && on_lost) {
                on_lost();
            }
        };
        out.on_leaving = [](const instance_id&) {};
        out.on_session = [](admission_source) {};
        out.on_session_end = [](admission_source) {};
        out.is_response_outstanding = [this](const instance_id&) { return is_waiting; };
        return out;
    }
    auto hello() const -> std::string
    {
        std::string out;
        encode_peer_message(out, peer_hello{peer, boot_id{8}, true});
        return out;
    }

    event_log events;
    gateway_metrics metrics;
    raw_listener listener;
    candidate self;
    candidate peer;
    std::function<void()> on_lost;
    bool is_waiting{false};
    peer_mesh it;
    std::unique_ptr<raw_connection> session;
};

BOOST_FIXTURE_TEST_SUITE(links_to_candidates, mesh_with_candidate)

// Guards against a crash when a candidate is slow: a message that arrives on a link between its
// drop for not responding and its destruction makes the link count as working again.
BOOST_AUTO_TEST_CASE(ignore_messages_on_a_dropped_link)
{
    bool is_lost = false;
    on_lost = [&] {
        is_lost = true;
        session->send(hello());
    };
    is_waiting = true;
    run_until([&] {
        it.tick(loop.now());
        return is_lost;
    });
    run_for(milliseconds{50});
    BOOST_TEST(!it.is_up(peer.id));
    BOOST_TEST(!it.accepts_work(peer.id));

    BOOST_TEST_CONTEXT("and the next link works")
    {
        on_lost = nullptr;
        is_waiting = false;
        auto dropped = std::move(session);
        run_until([&] {
            it.tick(loop.now());
            return (session = listener.accept()) != nullptr;
        });
        session->send(hello());
        dropped.reset();
        run_until([&] { return it.is_up(peer.id); });
        run_for(milliseconds{50});
        BOOST_TEST(it.accepts_work(peer.id));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
