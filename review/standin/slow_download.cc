#include "deployment.hh"

/// Case: a planned stop while callers still receive downloads that the servers have sent
/// completely.
namespace {

using namespace review;

constexpr int clients = 4;
constexpr std::size_t body_bytes = 480'000;
/// A caller takes this much of its answer each 30 ms, about 0.8 Mbit/s.
constexpr std::size_t bytes_per_step = 3'000;
constexpr milliseconds step{30};
constexpr milliseconds deadline{10'000};
/// Time from the start of the downloads to SIGTERM.
constexpr milliseconds stop_after{400};

auto configuration() -> std::string
{
    return R"({"Version":"r1","Routes":[{"Name":"scan","Host":"h","PathPrefix":"/s/","RouteKind":"download","TargetLatency":"400ms","Priority":2,"Service":"records","MaxAttempts":2}],"Services":[{"Name":"records","HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"Cold":"0ms","ColdPerS":1000.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";
}

struct download {
    bool is_complete{false};
    std::size_t received{0};
    double seconds{0};
};

auto receive_slowly(const address& to, const std::string& id, record_file& record) -> download
{
    download out;
    auto start = record.seconds();
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int window = 4 * 1024;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    // Segments as on a network; those of the loopback interface make the sender's buffer very
    // large.
    int segment = 1448;
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    auto native = to_native(to);
    bool is_sent =
        connect(fd, reinterpret_cast<sockaddr*>(&native), sizeof(native)) == 0 &&
        send_all(fd, "GET /s/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                         "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n\r\n");
    record.line("client sends " + id);
    std::string bytes;
    std::size_t whole = 0;
    std::vector<char> buf(bytes_per_step);
    while (is_sent && (whole == 0 || bytes.size() < whole)) {
        pollfd waiting{fd, POLLIN, 0};
        auto n = poll(&waiting, 1, 12'000) > 0 ? recv(fd, buf.data(), buf.size(), 0) : 0;
        if (n <= 0) {
            break;
        }
        bytes.append(buf.data(), static_cast<std::size_t>(n));
        auto head = bytes.find("\r\n\r\n");
        auto length = bytes.find("ontent-length: ");
        if (whole == 0 && head != std::string::npos && length != std::string::npos) {
            whole = head + 4 + static_cast<std::size_t>(std::atoll(bytes.c_str() + length + 15));
        }
        std::this_thread::sleep_for(step);
    }
    close(fd);
    out.is_complete = whole > 0 && bytes.size() == whole;
    out.received = bytes.size();
    out.seconds = record.seconds() - start;
    record.line("client has " + std::to_string(bytes.size()) + " of " + std::to_string(whole) +
                " bytes of the answer to " + id + " after " + std::to_string(out.seconds) + " s" +
                (out.is_complete ? "" : ", the connection has ended"));
    return out;
}

auto run(const std::string& record_path) -> int
{
    record_file record{record_path};
    temporary_folder folder;
    store platform{"127.0.0.1"};
    platform.put("keyed.op", "config", configuration());
    ownership_audit audit{record};
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 1; n <= 3; ++n) {
        servers.push_back(
            std::make_unique<server>("127.0.0.1",
                                     server_options{"i-" + std::to_string(n), "records", "z1", 4,
                                                    false, milliseconds{130}, 0, body_bytes},
                                     platform, audit, record));
    }
    auto node = make_gateway(1, platform.at(), folder.path(), record);
    node->start(true);
    if (!wait_until([&] { return node->is_ready(); }, std::chrono::seconds{20})) {
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds{3});
    std::vector<download> results(clients);
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n) {
        threads.emplace_back([&, n] {
            results[static_cast<std::size_t>(n)] =
                receive_slowly(node->front(), "d" + std::to_string(n), record);
        });
    }
    std::this_thread::sleep_for(stop_after);
    if (has_trouble()) {
        record.line("gateway " + node->node() + " gets SIGTERM");
        node->send_signal(SIGTERM);
    }
    for (auto& it : threads) {
        it.join();
    }
    bool has_ended =
        !has_trouble() || wait_until([&] { return !node->is_running(); }, std::chrono::seconds{7});
    node->kill();
    for (auto& it : servers) {
        it->stop();
    }
    auto cut = std::ranges::count_if(results, [](const auto& it) {
        return !it.is_complete && it.seconds * 1000 < deadline.count();
    });
    record.line(std::to_string(cut) + " of " + std::to_string(clients) +
                " downloads cut off before their deadline");
    if (!has_ended ||
        std::ranges::any_of(results, [](const auto& it) { return it.received == 0; })) {
        return 2;
    }
    return cut > 0 ? 1 : 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return run(argc > 1 ? argv[1] : "record.txt");
}
