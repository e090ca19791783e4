#include "adapters/h2o/http_server.h"
#include "adapters/nghttp2/peer_client.h"
#include "tests/adapters/loop_fixture.h"

using namespace cornelswitch;
using namespace cornelswitch::test;

BOOST_AUTO_TEST_SUITE(an_http_server)

BOOST_AUTO_TEST_SUITE(when_the_caller_uses_http2)

// Guards against a server that breaks the connection after its first request. curl 7.88 reports
// this as a framing error when it reuses a connection for sequential requests.
BOOST_FIXTURE_TEST_CASE(serves_sequential_requests_on_one_connection, loop_fixture)
{
    auto handler = [](const std::shared_ptr<exchange>& it) {
        it->respond({200, {}, {}}, it->request().path);
    };
    auto server = http_server::open(loop, {{"127.0.0.1", 0}}, handler).value();
    peer_client caller{loop, server->address(), {}};
    for (int n = 0; n < 20; ++n) {
        auto path = "/key" + std::to_string(n);
        std::optional<unary_result> answer;
        caller.call({"GET", path, {}, {}}, std::chrono::seconds{5},
                    [&](unary_result it) { answer = std::move(it); });
        run_until([&] { return answer.has_value(); });
        BOOST_REQUIRE(answer->has_value());
        BOOST_TEST(answer->value().body == path);
    }
    BOOST_TEST(caller.connections_opened() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
