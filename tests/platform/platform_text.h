#pragma once

#include <cstdint>
#include <string>

namespace cornelswitch::test {

inline constexpr const char* default_route_durations =
    R"(,"Timeout":"1500ms","TargetLatency":"500ms")";

/// A route in the operators' configuration, for host `h` and the paths below `/name/`. `durations`
/// holds further JSON members, such as `default_route_durations`, or is empty.
inline auto route_text(const std::string& name, const std::string& service, const std::string& kind,
                       const std::string& durations) -> std::string
{
    return R"({"Name":")" + name + R"(","Host":"h","PathPrefix":"/)" + name +
           R"(/","RouteKind":")" + kind + "\"" + durations + R"(,"Service":")" + service +
           R"(","MaxAttempts":2})";
}

/// A configuration with a service `plain` without keys, a keyed service `index`, and routes to
/// both.
/// `extra_routes` is a comma and one more route, or empty.
inline auto configuration_text(int version, const std::string& extra_routes) -> std::string
{
    return R"({"Version":"r)" + std::to_string(version) + R"(","Routes":[)" +
           route_text("read", "plain", "idempotent", default_route_durations) + "," +
           route_text("write", "plain", "non_idempotent", default_route_durations) + "," +
           route_text("keyed", "index", "idempotent", default_route_durations) + extra_routes +
           R"(],"Services":[{"Name":"plain","MaxConns":100,"Cold":"3s","ColdPerS":4.0},)"
           R"({"Name":"index","MaxConns":100,"Cold":"3s","ColdPerS":4.0,"Sharded":true}]})";
}

/// A caller's request. `extra_headers` holds further header lines.
inline auto caller_request(const std::string& path, const std::string& request_id,
                           const std::string& extra_headers) -> std::string
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + request_id +
           "\r\nX-Deadline-Ms: 2000\r\n" + extra_headers + "\r\n";
}

/// Header line with the key of a request.
inline auto key_header(std::uint32_t key) -> std::string
{
    return "X-Shard-Key: " + std::to_string(key) + "\r\n";
}

} // namespace cornelswitch::test
