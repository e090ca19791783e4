#pragma once

#include "net.hh"

#include <condition_variable>

namespace review {

/// Stand-in of the platform's store: topics with one partition, conditional appends, long polling,
/// and one group whose partitions are dealt evenly.
class store {
public:
    static constexpr int partitions = 8;

    explicit store(const std::string& ip)
        : service_{{ip, 0},
                   [this](const message& it, int fd, std::uint64_t) { return handle(it, fd); }}
    {
    }
    ~store()
    {
        is_ending_ = true;
        changed_.notify_all();
        service_.stop();
    }

    auto at() const -> const address& { return service_.at(); }

    /// Appends a record, as the operator or a server does.
    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void
    {
        std::lock_guard lock{mutex_};
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }
    /// Gives all partitions to members whose name starts with `prefix`; an empty prefix restores
    /// the even deal. The partitions of others end at once.
    auto deal_to(const std::string& prefix) -> void
    {
        std::lock_guard lock{mutex_};
        preferred_ = prefix;
        ++generation_;
    }
    /// Called with each request before it is handled.
    std::function<void(const message&)> before;

private:
    struct entry {
        std::string key;
        std::string value;
    };
    struct member {
        clock_type::time_point until;
    };

    static auto big_endian(std::uint64_t value, int bytes) -> std::string
    {
        std::string out;
        for (int n = bytes - 1; n >= 0; --n) {
            out.push_back(static_cast<char>((value >> (8 * n)) & 0xffU));
        }
        return out;
    }

    static auto base64(const std::string& in) -> std::string
    {
        static constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t n = 0; n < in.size(); n += 3) {
            std::uint32_t bits = 0;
            for (std::size_t k = 0; k < 3; ++k) {
                bits =
                    bits << 8U | (n + k < in.size() ? static_cast<unsigned char>(in[n + k]) : 0U);
            }
            for (std::size_t k = 0; k < 4; ++k) {
                out.push_back(n + k <= in.size() ? digits[(bits >> (18 - 6 * k)) & 63U] : '=');
            }
        }
        return out;
    }

    auto handle(const message& request, int fd) -> bool
    {
        if (before) {
            before(request);
        }
        // Each call takes about 4 ms, as on the platform.
        std::this_thread::sleep_for(milliseconds{4});
        auto answer = answer_to(request);
        return !is_ending_ && send_all(fd, answer);
    }

    auto answer_to(const message& request) -> std::string
    {
        auto target = request.target();
        auto topic = query_value(target, "Topic");
        std::unique_lock lock{mutex_};
        auto& records = topics_[topic];
        if (target.starts_with("/-/log-read")) {
            auto from =
                static_cast<std::size_t>(std::atoll(query_value(target, "FromRev").c_str()));
            auto wait = std::atoi(query_value(target, "WaitMs").c_str());
            changed_.wait_for(lock, milliseconds{wait},
                              [&] { return is_ending_ || records.size() > from; });
            auto body = big_endian(records.size(), 8) + big_endian(0, 8);
            for (auto n = from; n < records.size(); ++n) {
                auto content = std::string(1, static_cast<char>(records[n].key.size())) +
                               records[n].key + records[n].value;
                body += big_endian(content.size(), 4) + content;
            }
            return make_response(200, "", body);
        }
        if (target.starts_with("/-/log-newest")) {
            std::map<std::string, std::size_t> newest;
            for (std::size_t n = 0; n < records.size(); ++n) {
                newest[records[n].key] = n;
            }
            std::string items;
            for (const auto& [key, n] : newest) {
                if (!records[n].value.empty()) {
                    items += (items.empty() ? "" : ",") +
                             ("{\"Key\":\"" + key + "\",\"Value\":\"") + base64(records[n].value) +
                             "\",\"Offset\":" + std::to_string(n) + "}";
                }
            }
            return json(200, "{\"items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" +
                                 std::to_string(records.size()) + "}");
        }
        if (target.starts_with("/-/log-append")) {
            auto as_of = query_value(target, "AsOf");
            bool is_refused = !as_of.empty() && std::stoull(as_of) != records.size();
            auto offset = records.size();
            if (!is_refused) {
                auto key_size = static_cast<unsigned char>(request.body.at(4));
                records.push_back(
                    {request.body.substr(5, key_size), request.body.substr(5U + key_size)});
                changed_.notify_all();
            }
            return json(is_refused ? 412 : 200,
                        "{\"Offset\":" + std::to_string(offset) +
                            ",\"EndOffset\":" + std::to_string(records.size()) + "}");
        }
        if (target == "/-/log-join") {
            return join(
                json_value(request.body, "Member"),
                milliseconds{static_cast<int>(parse_time(json_value(request.body, "Ttl_time")))});
        }
        if (target == "/-/log-leave") {
            members_.erase(json_value(request.body, "Member"));
            ++generation_;
            return json(200, "{}");
        }
        return json(400, "{}");
    }

    auto join(const std::string& name, milliseconds ttl) -> std::string
    {
        auto now = clock_type::now();
        std::erase_if(members_, [&](const auto& it) {
            bool is_over = it.second.until < now;
            generation_ += is_over ? 1 : 0;
            return is_over;
        });
        generation_ += members_.contains(name) ? 0 : 1;
        members_[name] = {now + ttl};
        std::vector<std::string> order;
        for (const auto& [it, state] : members_) {
            if (it.starts_with(preferred_)) {
                order.push_back(it);
            }
        }
        std::string parts;
        for (int n = 0; n < partitions && !order.empty(); ++n) {
            auto& owner = owners_[n];
            bool is_valid = std::ranges::find(order, owner) != order.end();
            if (!is_valid) {
                owner = order[static_cast<std::size_t>(n) % order.size()];
            }
            if (owner == name) {
                parts += (parts.empty() ? "" : ",") + std::string{"[\"cornelswitch-duties\","} +
                         std::to_string(n) + ",0]";
            }
        }
        return json(200, "{\"Generation\":" + std::to_string(generation_) + ",\"parts\":[" + parts +
                             "]}");
    }

    static auto json(int status, const std::string& body) -> std::string
    {
        return make_response(status, "Content-Type: application/json\r\n", body);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> is_ending_{false};
    std::map<std::string, std::vector<entry>> topics_;
    std::map<std::string, member> members_;
    std::map<int, std::string> owners_;
    std::string preferred_;
    std::uint64_t generation_{1};
    http_service service_;
};

} // namespace review
