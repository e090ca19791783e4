#pragma once

// Stand-in of the platform's metadata store (PROTOCOL.md): topics with one record log for each
// partition, the newest records of keyed topics, and one group whose partitions are dealt evenly.

#include "net.hh"

#include <condition_variable>
#include <list>
#include <mutex>
#include <set>
#include <vector>

namespace review {

class store {
public:
    store() : server_{[this](const auto& it) { serve(*it); }} {}

    auto address() const -> std::string { return server_.address(); }

    /// Writes a record of the operator or of a server.
    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void
    {
        std::lock_guard lock{mutex_};
        topics_[topic + "/0"].push_back(keyed(key, value));
        changed_.notify_all();
    }

private:
    struct member {
        steady::time_point until;
    };

    static auto keyed(const std::string& key, const std::string& value) -> std::string
    {
        return std::string(1, static_cast<char>(key.size())) + key + value;
    }
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
        static constexpr char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t n = 0; n < in.size(); n += 3) {
            std::uint32_t bits = 0;
            for (std::size_t k = 0; k < 3; ++k) {
                bits = bits << 8U | (n + k < in.size() ? static_cast<unsigned char>(in[n + k]) : 0);
            }
            for (std::size_t k = 0; k < 4; ++k) {
                out.push_back(n + k > in.size() ? '=' : digits[(bits >> (18 - 6 * k)) & 63U]);
            }
        }
        return out;
    }
    static auto query(const std::string& target, const std::string& name) -> std::string
    {
        for (const char* mark : {"?", "&"}) {
            auto at = target.find(mark + name + "=");
            if (at != std::string::npos) {
                at += name.size() + 2;
                return target.substr(at, target.find('&', at) - at);
            }
        }
        return {};
    }
    /// Value of a text or number in a flat JSON object.
    static auto field(const std::string& json, const std::string& name) -> std::string
    {
        auto at = json.find('"' + name + "\":");
        if (at == std::string::npos) {
            return {};
        }
        at += name.size() + 3;
        if (json[at] == '"') {
            return json.substr(at + 1, json.find('"', at + 1) - at - 1);
        }
        return json.substr(at, json.find_first_of(",}", at) - at);
    }

    auto serve(const tcp_socket& it) -> void
    {
        std::string input;
        while (auto request = read_message(it, input, milliseconds{600'000})) {
            if (!it.send(handle(*request))) {
                return;
            }
        }
    }

    auto handle(const http_message& request) -> std::string
    {
        std::unique_lock lock{mutex_};
        const auto target = request.target();
        auto part = query(target, "part");
        auto& log = topics_[query(target, "Topic") + "/" + (part.empty() ? "0" : part)];
        if (target.starts_with("/-/log-read")) {
            auto from = std::stoul(query(target, "FromRev"));
            auto wait = query(target, "WaitMs");
            if (!wait.empty()) {
                changed_.wait_for(lock, milliseconds{std::stol(wait)},
                                  [&] { return log.size() > from; });
            }
            auto body = big_endian(log.size(), 8) + big_endian(0, 8);
            for (auto n = from; n < log.size(); ++n) {
                body += big_endian(log[n].size(), 4) + log[n];
            }
            return make_response(200, "", body);
        }
        if (target.starts_with("/-/log-newest")) {
            std::map<std::string, std::pair<std::string, std::size_t>> newest;
            for (std::size_t n = 0; n < log.size(); ++n) {
                auto size = static_cast<unsigned char>(log[n][0]);
                newest[log[n].substr(1, size)] = {log[n].substr(1U + size), n};
            }
            std::string items;
            for (const auto& [key, it] : newest) {
                if (it.first.empty()) {
                    continue;
                }
                items += (items.empty() ? "" : ",") + std::string{R"({"Key":")"} + key +
                         R"(","Value":")" + base64(it.first) + R"(","Offset":)" +
                         std::to_string(it.second) + "}";
            }
            return make_json(200, R"({"items":[)" + items + R"(],"HasMore":false,"EndOffset":)" +
                                      std::to_string(log.size()) + "}");
        }
        if (target.starts_with("/-/log-append")) {
            auto as_of = query(target, "AsOf");
            if (!as_of.empty() && std::stoul(as_of) != log.size()) {
                return make_json(412, R"({"EndOffset":)" + std::to_string(log.size()) + "}");
            }
            auto first = log.size();
            for (std::size_t at = 0; at + 4 <= request.body.size();) {
                std::uint32_t size = 0;
                for (int n = 0; n < 4; ++n) {
                    size = size << 8U | static_cast<unsigned char>(request.body[at++]);
                }
                log.push_back(request.body.substr(at, size));
                at += size;
            }
            changed_.notify_all();
            return make_json(200, R"({"Offset":)" + std::to_string(first) + R"(,"EndOffset":)" +
                                      std::to_string(log.size()) + "}");
        }
        if (target.starts_with("/-/log-join")) {
            return join(request.body);
        }
        if (target.starts_with("/-/log-leave")) {
            members_.erase(field(request.body, "Member"));
            ++generation_;
            return make_json(200, "{}");
        }
        return make_json(200, "{}");
    }

    auto join(const std::string& body) -> std::string
    {
        auto now = steady::now();
        auto before = members_.size();
        std::erase_if(members_, [&](const auto& it) { return it.second.until < now; });
        auto name = field(body, "Member");
        bool is_new = !members_.contains(name);
        auto ttl = field(body, "Ttl_time");
        auto ms = std::stod(ttl) * (ttl.ends_with("ms") ? 1 : 1000);
        members_[name].until = now + milliseconds{static_cast<long>(ms)};
        if (is_new || members_.size() != before) {
            ++generation_;
        }
        auto at = body.find("\"Topics\":[\"") + 11;
        auto topic = body.substr(at, body.find('"', at) - at);
        auto index = std::distance(members_.begin(), members_.find(name));
        std::string parts;
        for (int n = 0; n < 8; ++n) {
            if (n % static_cast<int>(members_.size()) == index) {
                parts += (parts.empty() ? "" : ",") + std::string{"[\""} + topic + "\"," +
                         std::to_string(n) + ",0]";
            }
        }
        return make_json(200, R"({"Generation":)" + std::to_string(generation_) +
                                  R"(,"Ttl_time":")" + ttl + R"(","parts":[)" + parts + "]}");
    }

    static auto make_json(int status, const std::string& body) -> std::string
    {
        return make_response(status, "Content-Type: application/json\r\n", body);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<std::string>> topics_;
    std::map<std::string, member> members_;
    int generation_{1};
    tcp_server server_;
};

} // namespace review
