#include "tests/daemon/data_plane_fixture.h"

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

/// A backend server with one file, which aborts each response after `abort_after` bytes.
struct download_fixture : data_plane_fixture {
    std::string file = std::string(300'000, 'a') + std::string(300'000, 'b');
    std::size_t abort_after{file.size()};
    std::string etag{"\"v1\""};

    download_fixture()
    {
        for (int n = 0; n < 40; ++n) { // Fills the retry budget.
            fetch({"GET", "/lookup/a", {}, {}});
        }
        backend_requests.clear();
        backend = [this](const std::shared_ptr<exchange>& it) { serve(it); };
    }

    auto serve(const std::shared_ptr<exchange>& it) -> void
    {
        const auto* range = find_header(it->request().headers, "range");
        std::size_t first = range != nullptr ? std::stoul(range->substr(6)) : 0;
        auto rest = std::string_view{file}.substr(first);
        header_list headers{{"etag", etag}};
        if (range != nullptr) {
            headers.push_back({"content-range", "bytes " + std::to_string(first) + "-" +
                                                    std::to_string(file.size() - 1) + "/" +
                                                    std::to_string(file.size())});
        }
        it->start({range != nullptr ? 206 : 200, headers, rest.size()});
        if (abort_after >= rest.size()) {
            it->write(rest);
            it->finish();
            return;
        }
        it->write(rest.substr(0, abort_after));
        loop.schedule(std::chrono::milliseconds{20}, [it] { it->abort(); });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_interrupted_download)

// Guards against a long download that fails with the connection to the server, and against bytes
// that are missing or repeated where it resumes.
BOOST_FIXTURE_TEST_CASE(is_resumed_at_the_next_byte, download_fixture)
{
    abort_after = 250'000;
    auto record = fetch({"GET", "/lookup/file", {}, {}});
    BOOST_TEST(record->is_complete());
    BOOST_TEST((record->body == file));
    BOOST_TEST(backend_requests.size() >= 2U);
    BOOST_TEST(*find_header(backend_requests.at(1)->request().headers, "if-range") == "\"v1\"");
}

// Guards against a body that is assembled from two versions of a file.
BOOST_FIXTURE_TEST_CASE(is_aborted_when_the_file_has_changed, download_fixture)
{
    abort_after = 250'000;
    backend = [this](const std::shared_ptr<exchange>& it) {
        etag = backend_requests.size() == 1 ? "\"v1\"" : "\"v2\"";
        serve(it);
    };
    auto record = fetch({"GET", "/lookup/file", {}, {}});
    BOOST_TEST(record->has_failed());
}

// Guards against a resumption although a weak ETag does not prove that the bytes belong to the same
// version.
BOOST_FIXTURE_TEST_CASE(is_aborted_without_a_strong_etag, download_fixture)
{
    abort_after = 250'000;
    etag = "W/\"v1\"";
    auto record = fetch({"GET", "/lookup/file", {}, {}});
    BOOST_TEST(record->has_failed());
    BOOST_TEST(backend_requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
