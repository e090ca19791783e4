#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/http_server.h"

#include <cxxopts.hpp>

#include <functional>

namespace cornelswitch {

/// Common part of the stand-in programs: options, HTTP server, signals and the limit of the run
/// time.
class stand_in_program {
public:
    /// Adds `--max-runtime` and `--help` to the options, parses them and calls `body`. Returns the
    /// exit code: 0 normal end, 1 an address cannot be bound, 2 usage error.
    static auto run(int argc, char** argv, cxxopts::Options options,
                    const std::function<int(stand_in_program&)>& body) -> int;

    auto arguments() const -> const cxxopts::ParseResult& { return arguments_; }
    auto loop() -> event_loop& { return loop_; }
    /// Opens a server on one address. Returns 0, or the exit code after an error.
    auto listen(const std::string& address, http_server_options options, exchange_handler handler)
        -> int;
    /// Prints an error about an invalid option and returns the exit code.
    static auto usage_error(const std::string& text) -> int;
    /// Prints `ready` and serves until SIGTERM, SIGINT or the end of `--max-runtime`, which ends an
    /// orphaned stand-in. Returns the exit code.
    auto serve() -> int;

private:
    explicit stand_in_program(cxxopts::ParseResult arguments) : arguments_{std::move(arguments)} {}

    cxxopts::ParseResult arguments_;
    event_loop loop_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

} // namespace cornelswitch
