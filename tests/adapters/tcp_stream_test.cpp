#include "adapters/h2o/tcp_stream.h"

#include "tests/adapters/loop_fixture.h"
#include "tests/adapters/raw_connection.h"

#include <algorithm>

namespace cornelswitch {
namespace {

using namespace test;

struct stream_fixture : loop_fixture {
    stream_fixture()
    {
        tcp_stream::connect(loop, listener.address(), {}, std::chrono::seconds{1},
                            [this](std::unique_ptr<tcp_stream> made) { it = std::move(made); });
        run_until([&] { return it != nullptr; });
        peer = listener.accept();
    }

    raw_listener listener;
    std::unique_ptr<tcp_stream> it;
    std::unique_ptr<raw_connection> peer;
};

BOOST_FIXTURE_TEST_SUITE(a_tcp_stream, stream_fixture)

// Guards against received bytes that are freed while a parser still reads them: a handler that
// rejects the head of a large response closes the stream at once.
BOOST_AUTO_TEST_CASE(keeps_received_bytes_until_the_handler_that_closes_it_returns)
{
    // Larger than the allocator's limit above which freed memory is unmapped.
    const std::string sent(300'000, 'x');
    std::size_t most = 0;
    std::size_t intact = 0;
    tcp_stream::handlers receivers;
    receivers.on_data = [&](std::string_view bytes) {
        if (bytes.size() < sent.size() / 2) {
            return;
        }
        it->abort();
        most = bytes.size();
        intact = static_cast<std::size_t>(std::ranges::count(bytes, 'x'));
    };
    peer->send(sent);
    it->start(std::move(receivers));
    run_until([&] { return most > 0; });
    BOOST_TEST(intact == most);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
