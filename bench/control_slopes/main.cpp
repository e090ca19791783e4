// Measures the cost of the control plane for one instance while nothing fails: bytes of the
// messages between the members of a cell, and processor time of a cell agent. The cell runs in
// virtual time, with four cell sizes and four numbers of backend servers. A constant for the HTTP/2
// framing is added to each exchange of a message and its answer.

#include "ownership/cell_agent.h"
#include "tests/ownership/log_builder.h"

#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <vector>

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

constexpr int measured_seconds = 20;
constexpr int settle_seconds = 5;
constexpr std::uint32_t slots_per_server = 128;
// Frame headers and indexed header fields of one HTTP/2 request and its response.
constexpr double framing_bytes_per_exchange = 42;

struct cost {
    double bytes_per_second{0};
    double exchanges_per_second{0};
    double cpu_us_per_second{0};
};

// The agents of one cell. Messages between them are delivered without delay.
class cell_under_test {
public:
    cell_under_test(int size, int server_count)
    {
        std::vector<int> numbers;
        for (int n = 1; n <= size; ++n) {
            numbers.push_back(n);
        }
        std::vector<int> server_numbers;
        for (int n = 1; n <= server_count; ++n) {
            server_numbers.push_back(n);
        }
        make_state(numbers, server_numbers);
        for (const auto& member : members(numbers)) {
            agents_.push_back(std::make_unique<cell_agent>(member, now_));
            members_.push_back(member);
            agents_.back()->configuration_changed(config_, now_);
            agents_.back()->ownership_changed(state_, now_);
        }
    }

    auto run(int seconds) -> void
    {
        auto end = now_ + std::chrono::seconds{seconds};
        while (now_ < end) {
            now_ += cell_tick_interval;
            for (std::size_t n = 0; n < agents_.size(); ++n) {
                agents_[n]->on_log_read(now_, now_);
                agents_[n]->tick(now_);
                deliver(n);
            }
        }
    }

    auto reset() -> void { bytes_ = exchanges_ = 0; }
    auto bytes() const -> std::size_t { return bytes_; }
    auto exchanges() const -> std::size_t { return exchanges_; }

private:
    auto make_state(const std::vector<int>& numbers, const std::vector<int>& server_numbers) -> void
    {
        log_builder log;
        log.add(
            cell_record{cell_id{1}, 0, zone_id{"a"}, members(numbers), servers(server_numbers)});
        auto config = std::make_shared<configuration>();
        service_config service;
        service.name = service_id{"look"};
        assignment_record record;
        auto count = static_cast<std::uint32_t>(server_numbers.size());
        record.tables.push_back({service.name, count * slots_per_server});
        for (std::uint32_t n = 0; n < count; ++n) {
            server_config it;
            it.id = server(server_numbers[n]);
            it.zone = zone_id{"a"};
            service.servers.push_back(it);
            auto first = n * slots_per_server;
            auto range = std::to_string(first) + "-" + std::to_string(first + slots_per_server - 1);
            record.entries.push_back({service.name, slots(range), it.id, 0});
        }
        log.add(record);
        config->profiles.push_back({});
        config->services.push_back(service);
        config_ = config;
        state_ = std::make_shared<ownership_state>(log.state);
    }

    auto deliver(std::size_t from) -> void
    {
        for (const auto& action : agents_[from]->take_actions()) {
            const auto* it = std::get_if<send_to_peer>(&action);
            if (it == nullptr) {
                continue;
            }
            for (std::size_t to = 0; to < agents_.size(); ++to) {
                if (members_[to].instance == it->peer) {
                    exchange(from, to, it->message);
                }
            }
        }
    }

    auto exchange(std::size_t from, std::size_t to, const cell_message& message) -> void
    {
        auto sent = encode_cell_message(message);
        auto received = decode_cell_message(sent);
        auto answer = agents_[to]->receive(members_[from], received.value(), now_);
        bytes_ += sent.size();
        ++exchanges_;
        if (answer) {
            auto text = encode_cell_message(*answer);
            bytes_ += text.size();
            agents_[from]->receive(members_[to], decode_cell_message(text).value(), now_);
        }
    }

    time_point now_{std::chrono::hours{1}};
    std::shared_ptr<const configuration> config_;
    std::shared_ptr<const ownership_state> state_;
    std::vector<std::unique_ptr<cell_agent>> agents_;
    std::vector<cell_member> members_;
    std::size_t bytes_{0};
    std::size_t exchanges_{0};
};

// Returns the mean cost of one member per second. Each message and each answer is sent by one
// member and received by another, so a member sends the bytes of all exchanges divided by the
// number of members, and receives as many.
auto measure(int size, int server_count) -> cost
{
    cell_under_test cell{size, server_count};
    cell.run(settle_seconds);
    cell.reset();
    auto start = std::chrono::steady_clock::now();
    cell.run(measured_seconds);
    std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    auto per_member = 1.0 / (static_cast<double>(size) * measured_seconds);
    auto exchanges = static_cast<double>(cell.exchanges()) * per_member;
    auto bytes = static_cast<double>(cell.bytes()) * per_member;
    return {bytes + exchanges * framing_bytes_per_exchange, exchanges,
            elapsed.count() * per_member};
}

struct line {
    double slope{0};
    double intercept{0};
    /// Largest deviation from the line, relative to the largest value; 0 if all values are 0.
    double residual{0};
};

auto fit(const std::array<double, 4>& x, const std::array<double, 4>& y) -> line
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (std::size_t n = 0; n < x.size(); ++n) {
        sx += x[n];
        sy += y[n];
        sxx += x[n] * x[n];
        sxy += x[n] * y[n];
    }
    auto count = static_cast<double>(x.size());
    line out;
    out.slope = (count * sxy - sx * sy) / (count * sxx - sx * sx);
    out.intercept = (sy - out.slope * sx) / count;
    double largest = 0;
    for (std::size_t n = 0; n < x.size(); ++n) {
        largest = std::max(largest, y[n]);
        auto deviation = std::abs(y[n] - out.intercept - out.slope * x[n]);
        out.residual = std::max(out.residual, deviation);
    }
    out.residual = largest > 0 ? out.residual / largest : 0;
    return out;
}

auto print_line(const char* name, const line& it) -> void
{
    std::printf("%-44s slope %10.3f  intercept %10.3f  residual %5.1f%%\n", name, it.slope,
                it.intercept, it.residual * 100);
}

template<typename measure_one>
auto print_series(const char* label, const std::array<double, 4>& sizes, measure_one run) -> void
{
    std::array<double, 4> bytes{};
    std::array<double, 4> cpu{};
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        auto it = run(static_cast<int>(sizes[n]));
        bytes[n] = it.bytes_per_second;
        cpu[n] = it.cpu_us_per_second;
        std::printf("%s %4.0f: %8.1f B/s sent, %6.1f exchanges/s, %8.1f us/s of processor time\n",
                    label, sizes[n], bytes[n], it.exchanges_per_second, cpu[n]);
    }
    print_line("  bytes sent per second", fit(sizes, bytes));
    print_line("  processor time, us per second", fit(sizes, cpu));
}

} // namespace

auto main() -> int
{
    print_series("members", {3, 4, 5, 6}, [](int n) { return measure(n, 4); });
    print_series("servers", {4, 8, 16, 32}, [](int n) { return measure(5, n); });
    return 0;
}
