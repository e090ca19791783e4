#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Category of an error. Callers may branch on it.
enum class error_code : std::uint8_t {
    invalid_argument,
    invalid_message,
    not_found,
    conflict,
    unavailable,
    timeout,
    connection_refused,
    connection_lost,
    too_large,
    canceled,
    internal,
};

/// Name of `code` as it appears in logs and JSON bodies.
auto to_string(error_code code) -> std::string_view;

/// Whether a request that failed may have been executed by a backend server.
enum class request_outcome : std::uint8_t {
    /// The request did not run: either no byte of it can have reached a backend server, or the
    /// server stated that it did not run the request.
    not_run,
    /// The request may have run.
    unknown,
};

/// Value of the `cornelswitch-outcome` header.
auto to_string(request_outcome outcome) -> std::string_view;

/// An error with the operation that failed and the peer involved.
struct error {
    error_code code{error_code::internal};
    /// Operation that failed, for example `lease-renewal` or `config-read`.
    std::string step;
    /// Address or id of the peer; empty if there is none.
    std::string peer;
    /// Details for operators; may be empty.
    std::string message;

    friend auto operator==(const error&, const error&) -> bool = default;
};

auto operator<<(std::ostream& os, const error& err) -> std::ostream&;

/// A value or an error. Access to the value of a failed result, or to the error of a successful
/// one, terminates the process.
template<typename type>
using result = boost::outcome_v2::result<type, error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::success;

} // namespace cornelswitch
