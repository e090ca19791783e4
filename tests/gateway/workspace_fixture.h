#pragma once

#include "tests/gateway/gateway_fixture.h"

#include <string>

namespace cornelswitch::test {

/// A gateway whose configuration holds workspaces, and a public route.
struct gateway_with_workspaces : gateway_fixture {
    static auto with_workspaces(int version, const std::string& workspaces) -> std::string
    {
        auto open = route_text("open", "plain", "idempotent", default_route_durations);
        open.insert(open.size() - 1, R"(,"Public":true)");
        auto out = configuration(version, "," + open);
        out.insert(out.size() - 1, R"(,"Tenants":[)" + workspaces + "]");
        return out;
    }

    auto publish(int version, const std::string& workspaces) -> void
    {
        store.put("keyed.op", "config", with_workspaces(version, workspaces));
    }

    auto start_with(const std::string& workspaces) -> void
    {
        start();
        publish(2, workspaces);
        run_until([&] { return status(call(request("/read/1", "probe"))) == "401"; });
        for (auto* backend : {&plain_server_1, &plain_server_2}) {
            backend->handle_request = [this](fake_backend& self, received_request& received) {
                last_workspaces = count_headers(received.head.headers, "x-tenant");
                last_workspace = fake_backend::header(received, "x-tenant");
                has_key_at_server = count_headers(received.head.headers, "authorization") > 0;
                received.send(self.valid_response(received));
            };
        }
    }

    auto status_with(const std::string& path, const std::string& headers) -> std::string
    {
        return status(call(request(path, "r" + std::to_string(++requests), headers)));
    }

    static auto key(const std::string& text) -> std::string
    {
        return "Authorization: Bearer " + text + "\r\n";
    }

    std::string last_workspace;
    std::size_t last_workspaces{0};
    bool has_key_at_server{false};
    int requests{0};
};

} // namespace cornelswitch::test
