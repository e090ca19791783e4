#pragma once

#include "store.hh"

#include <array>

namespace review {

/// What the servers of one keyed service hold and run, and the check of the rule OWNER.
class ownership_audit {
public:
    explicit ownership_audit(record_file& record) : record_{record} {}

    /// A server begins or ends work on a key.
    auto begin(const std::string& server, int key, const std::string& id,
               clock_type::time_point hold_end) -> void
    {
        std::lock_guard lock{mutex_};
        running_.push_back({server, key, id, hold_end});
    }
    auto end(const std::string& server, const std::string& id) -> void
    {
        std::lock_guard lock{mutex_};
        std::erase_if(running_, [&](const auto& it) { return it.server == server && it.id == id; });
    }
    /// A server takes keys. Counts a breach when another server is at work on one of them and its
    /// hold would not have run out.
    auto take(const std::string& server, int first, int last) -> void
    {
        std::lock_guard lock{mutex_};
        for (const auto& it : running_) {
            if (it.server != server && first <= it.key && it.key <= last &&
                clock_type::now() < it.hold_end) {
                ++breaches_;
                record_.line("BROKEN: " + server + " is given the keys " + std::to_string(first) +
                             " to " + std::to_string(last) + " while " + it.server +
                             " is at work on key " + std::to_string(it.key) + " (request " + it.id +
                             ")");
            }
        }
    }
    /// Counts a breach that another check found.
    auto report(const std::string& text) -> void
    {
        std::lock_guard lock{mutex_};
        ++breaches_;
        record_.line("BROKEN: " + text);
    }
    auto breaches() -> int
    {
        std::lock_guard lock{mutex_};
        return breaches_;
    }

private:
    struct running_request {
        std::string server;
        int key;
        std::string id;
        clock_type::time_point hold_end;
    };

    record_file& record_;
    std::mutex mutex_;
    std::vector<running_request> running_;
    int breaches_{0};
};

struct server_options {
    std::string id;
    std::string service;
    std::string zone{"z1"};
    int slots{2};
    bool is_keyed{true};
    milliseconds work{200};
    std::uint16_t port{0};
    std::size_t response_bytes{4};
};

/// Stand-in of a backend server that owns keys. It reports to the store every 870 ms.
class server {
public:
    static constexpr int keys = 65536;

    server(const std::string& ip, server_options options, store& reports_to, ownership_audit& audit,
           record_file& record)
        : options_{std::move(options)}, store_{reports_to}, audit_{audit}, record_{record},
          born_{std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()},
          service_{{ip, options_.port},
                   [this](const message& it, int fd, std::uint64_t connection) {
                       return handle(it, fd, connection);
                   }}
    {
        record_.line("server " + options_.id + " starts at " + service_.at().text());
        reporter_ = std::thread{[this] { report_regularly(); }};
    }
    ~server() { stop(); }

    /// Ends the process: nothing is said to the store.
    auto stop() -> void
    {
        if (is_stopped_.exchange(true)) {
            return;
        }
        reporter_.join();
        service_.stop();
        record_.line("server " + options_.id + " ends");
    }

    auto id() const -> const std::string& { return options_.id; }
    auto is_up() const -> bool { return !is_stopped_; }
    auto at() const -> const address& { return service_.at(); }
    auto drain() -> void
    {
        state_ = "draining";
        write_report();
    }
    auto holds(int key) -> bool
    {
        std::lock_guard lock{mutex_};
        return hold_end_[static_cast<std::size_t>(key)] > clock_type::now();
    }
    auto held_keys() -> int
    {
        std::lock_guard lock{mutex_};
        return static_cast<int>(
            std::ranges::count_if(hold_end_, [](auto it) { return it > clock_type::now(); }));
    }
    /// Whether the server began work on the request.
    auto has_begun(const std::string& id) -> bool
    {
        std::lock_guard lock{mutex_};
        return begun_.contains(id);
    }
    auto answers() const -> int { return answers_; }

    /// Called before a release is answered, with the connection's file descriptor and number. Used
    /// for faults that the pages allow.
    std::function<void(const message&, int fd, std::uint64_t connection)> on_release;
    /// Whether the next answer to a request is broken off.
    std::function<bool()> is_cut_off;
    /// Called with the answer to a release that was sent.
    std::function<void(const std::string& answer, int fd, std::uint64_t connection)>
        on_release_answered;

private:
    auto write_report() -> void
    {
        std::lock_guard lock{report_mutex_};
        store_.put("keyed.servers", options_.id,
                   "{\"Addr\":\"" + service_.at().text() + "\",\"Info\":{\"Service\":\"" +
                       options_.service + "\",\"Version\":\"v1\",\"Zone\":\"" + options_.zone +
                       "\",\"Slots\":" + std::to_string(options_.slots) +
                       "},\"Status\":{\"State\":\"" + state_ +
                       "\",\"Seq\":" + std::to_string(++sequence_) +
                       ",\"ColdLeft\":\"0ms\"},\"born\":" + std::to_string(born_) + "}");
    }

    auto report_regularly() -> void
    {
        auto next = clock_type::now();
        while (!is_stopped_) {
            if (clock_type::now() >= next) {
                write_report();
                next += milliseconds{870};
            }
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    auto handle(const message& request, int fd, std::uint64_t connection) -> bool
    {
        auto expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != options_.id) {
            return answer(
                fd, make_response(
                        421, "X-Not-Executed: 1\r\nX-Instance-Id: " + options_.id + "\r\n", ""));
        }
        if (request.target() == "/-/grant") {
            return grant(request, fd);
        }
        if (request.target() == "/-/release") {
            return release(request, fd, connection);
        }
        if (request.target() == "/health") {
            return answer(
                fd, make_response(
                        200, "X-Instance-Id: " + options_.id + "\r\nX-Server-Load: 0,0,2\r\n", ""));
        }
        return run(request, fd);
    }

    auto grant(const message& request, int fd) -> bool
    {
        auto arrived = clock_type::now();
        auto first = std::atoi(json_value(request.body, "FromRev").c_str());
        auto last = std::atoi(json_value(request.body, "To").c_str());
        auto fence =
            std::uint64_t{std::strtoull(json_value(request.body, "fence").c_str(), nullptr, 10)};
        auto hold = milliseconds{static_cast<int>(parse_time(json_value(request.body, "Hold")))};
        bool is_refused = false;
        bool is_new = false;
        {
            std::lock_guard lock{mutex_};
            for (int key = first; key <= last; ++key) {
                is_refused = is_refused || highest_[static_cast<std::size_t>(key)] > fence;
            }
            for (int key = first; key <= last && !is_refused; ++key) {
                auto n = static_cast<std::size_t>(key);
                is_new = is_new || hold_end_[n] <= arrived;
                highest_[n] = fence;
                hold_end_[n] = arrived + hold;
            }
        }
        if (is_refused || is_new) {
            record_.line(options_.id + (is_refused ? " refuses " : " takes ") +
                         std::to_string(first) + " to " + std::to_string(last) + ", fence " +
                         std::to_string(fence));
        }
        if (!is_refused) {
            audit_.take(options_.id, first, last);
        }
        return answer(fd, make_response(is_refused ? 409 : 200, "", ""));
    }

    auto release(const message& request, int fd, std::uint64_t connection) -> bool
    {
        auto first = std::atoi(json_value(request.body, "FromRev").c_str());
        auto last = std::atoi(json_value(request.body, "To").c_str());
        auto fence =
            std::uint64_t{std::strtoull(json_value(request.body, "fence").c_str(), nullptr, 10)};
        {
            std::lock_guard lock{mutex_};
            for (int key = first; key <= last; ++key) {
                auto n = static_cast<std::size_t>(key);
                hold_end_[n] = {};
                highest_[n] = std::max(highest_[n], fence);
            }
        }
        record_.line(options_.id + " is to release " + std::to_string(first) + " to " +
                     std::to_string(last) + ", fence " + std::to_string(fence) + ", connection " +
                     std::to_string(connection));
        if (on_release) {
            on_release(request, fd, connection);
        }
        while (!is_stopped_ && works_on(first, last)) {
            std::this_thread::sleep_for(milliseconds{2});
        }
        record_.line(options_.id + " has released " + std::to_string(first) + " to " +
                     std::to_string(last));
        auto text =
            make_response(200, "X-Handover: h" + options_.id + std::to_string(fence) + "\r\n", "");
        bool is_sent = answer(fd, text);
        if (on_release_answered) {
            on_release_answered(text, fd, connection);
        }
        return is_sent;
    }

    auto works_on(int first, int last) -> bool
    {
        std::lock_guard lock{mutex_};
        return std::ranges::any_of(working_, [&](int it) { return first <= it && it <= last; });
    }

    auto run(const message& request, int fd) -> bool
    {
        auto id = request.header("x-request-id");
        int key = std::atoi(request.header("x-shard-key").c_str());
        auto echo = "X-Request-Id: " + id + "\r\nX-Instance-Id: " + options_.id + "\r\n" + load();
        {
            std::lock_guard lock{mutex_};
            bool is_held =
                !options_.is_keyed || hold_end_[static_cast<std::size_t>(key)] > clock_type::now();
            if (!is_held || static_cast<int>(working_.size()) >= options_.slots) {
                return answer(
                    fd, make_response(is_held ? 503 : 421, echo + "X-Not-Executed: 1\r\n", ""));
            }
            working_.push_back(key);
            begun_.insert(id);
            if (options_.is_keyed) {
                audit_.begin(options_.id, key, id, hold_end_[static_cast<std::size_t>(key)]);
            }
        }
        record_.line(options_.id + " begins " + id + ", key " + std::to_string(key));
        std::this_thread::sleep_for(options_.work);
        {
            std::lock_guard lock{mutex_};
            working_.erase(std::ranges::find(working_, key));
        }
        audit_.end(options_.id, id);
        auto text =
            make_response(200, echo + "X-Response-Seal: s." + options_.id + "." + id + "\r\n",
                          std::string(options_.response_bytes, 'a'));
        if (is_cut_off && is_cut_off()) {
            record_.line(options_.id + " breaks off its answer to " + id);
            answer(fd, text.substr(0, text.size() * 3 / 5));
            return false;
        }
        return answer(fd, text);
    }

    auto load() -> std::string
    {
        std::lock_guard lock{mutex_};
        return "X-Server-Load: " + std::to_string(working_.size()) + ",0," +
               std::to_string(options_.slots) + ",100\r\n";
    }

    auto answer(int fd, const std::string& bytes) -> bool
    {
        ++answers_;
        return send_all(fd, bytes);
    }

    server_options options_;
    store& store_;
    ownership_audit& audit_;
    record_file& record_;
    std::int64_t born_;
    std::mutex mutex_;
    std::mutex report_mutex_;
    std::array<clock_type::time_point, keys> hold_end_{};
    std::array<std::uint64_t, keys> highest_{};
    std::vector<int> working_;
    std::set<std::string> begun_;
    std::string state_{"ready"};
    std::uint64_t sequence_{0};
    std::atomic<bool> is_stopped_{false};
    std::atomic<int> answers_{0};
    http_service service_;
    std::thread reporter_;
};

} // namespace review
