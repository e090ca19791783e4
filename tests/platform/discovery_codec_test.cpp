#include "platform/discovery_codec.h"
#include "platform/store_names.h"
#include "platform/wire_json.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string valid_entry =
    R"({"Addr":"127.0.0.9:8080","Info":{"Service":"index","Version":"v1","Zone":"z1","Slots":2},)"
    R"("Status":{"State":"ready","Seq":4,"ColdLeft":"150ms"},"born":1700000000000})";

const std::string valid_configuration =
    R"({"Version":"r7","Routes":[)"
    R"({"Name":"a","Host":"h.example","PathPrefix":"/x/","RouteKind":"non_idempotent","Timeout":"1200ms",)"
    R"("TargetLatency":"600ms","Priority":1,"Service":"desk","MaxAttempts":2},)"
    R"({"Name":"b","Host":"h.example","PathPrefix":"/x/y/","RouteKind":"idempotent","Priority":2,)"
    R"("Split":[{"Service":"index","Weight":90},{"Service":"desk","Weight":10}],"MaxAttempts":2}],)"
    R"("Services":[{"Name":"index","MaxConns":130,"Cold":"3s","ColdPerS":4.0,"Sharded":true,"Warmup":"3s"},)"
    R"({"Name":"desk","MaxConns":130,"Cold":"3s","ColdPerS":4.0}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";

auto replaced(std::string text, const std::string& from, const std::string& to) -> std::string
{
    return text.replace(text.find(from), from.size(), to);
}

BOOST_AUTO_TEST_SUITE(server_entry)

BOOST_AUTO_TEST_CASE(is_decoded_into_its_fields)
{
    auto decoded = decode_backend_entry("i-1", valid_entry);
    BOOST_REQUIRE(decoded.has_value());
    const auto& it = decoded.value();
    BOOST_TEST(it.id.value() == "i-1");
    BOOST_TEST(it.service.value() == "index");
    BOOST_TEST(it.address.to_text() == "127.0.0.9:8080");
    BOOST_TEST(it.slots == 2U);
    BOOST_TEST(!it.is_draining);
    BOOST_TEST((it.cold_left == milliseconds{150}));
    BOOST_TEST(it.incarnation.value() == 1'700'000'000'000);
}

BOOST_AUTO_TEST_CASE(is_compared_without_its_sequence_number)
{
    auto next = replaced(valid_entry, "\"Seq\":4", "\"Seq\":15");
    BOOST_TEST(equals_except_sequence(valid_entry, next));
    BOOST_TEST(!equals_except_sequence(valid_entry, replaced(next, "150ms", "0ms")));
    BOOST_TEST(!equals_except_sequence("", valid_entry));
}

BOOST_AUTO_TEST_CASE(is_rejected_when_a_field_is_missing)
{
    for (const auto* field : {"\"Addr\"", "\"Service\"", "\"Version\"", "\"Zone\"", "\"Slots\"",
                              "\"State\"", "\"Seq\"", "\"ColdLeft\"", "\"Info\"", "\"Status\""}) {
        BOOST_TEST(
            decode_backend_entry("i-1", replaced(valid_entry, field, "\"other\"")).has_error());
    }
}

BOOST_AUTO_TEST_CASE(is_rejected_when_a_field_is_malformed)
{
    BOOST_TEST(decode_backend_entry("i-1", replaced(valid_entry, "\"Slots\":2", "\"Slots\":\"2\""))
                   .has_error());
    BOOST_TEST(decode_backend_entry("i-1", replaced(valid_entry, "\"v1\"", "1")).has_error());
    BOOST_TEST(
        decode_backend_entry("i-1", replaced(valid_entry, "\"Seq\":4", "\"Seq\":[]")).has_error());
    BOOST_TEST(decode_backend_entry("i-1", replaced(valid_entry, "ready", "sleeping")).has_error());
    BOOST_TEST(
        decode_backend_entry("i-1", replaced(valid_entry, "1700000000000", "\"now\"")).has_error());
    BOOST_TEST(decode_backend_entry("i-1", replaced(valid_entry, "127.0.0.9:8080", "nowhere"))
                   .has_error());
}

// Guards against an entry of another writer whose numbers wrap around, such as 2^32 slots to none.
BOOST_AUTO_TEST_CASE(is_rejected_when_a_number_is_out_of_range)
{
    auto with = [](const std::string& from, const std::string& to) {
        return decode_backend_entry("i-1", replaced(valid_entry, from, to));
    };
    for (const auto* number : {"0", "-1", "1e3", "65537", "4294967296", "4294967298",
                               "18446744073709551615", "18446744073709551616", "1e400"}) {
        BOOST_TEST(with("\"Slots\":2", std::string{"\"Slots\":"} + number).has_error(), number);
    }
    for (const auto* number :
         {"-1", "0.5", "18446744073709551615", "18446744073709551616", "1e400"}) {
        BOOST_TEST(with("\"Seq\":4", std::string{"\"Seq\":"} + number).has_error(), number);
        BOOST_TEST(with("1700000000000", number).has_error(), number);
    }
    for (const auto* address : {"127.0.0.9:0", "127.0.0.9:65536", "127.0.0.9:-1",
                                "127.0.0.9:", "127.0.0.9:99999999999999999999", ":8080"}) {
        BOOST_TEST(with("127.0.0.9:8080", address).has_error(), address);
    }
    for (const auto* time : {"1e400s", "-1s", "nans", "99999999999999s"}) {
        BOOST_TEST(with("150ms", time).has_error(), time);
    }
}

// Guards against the end of the process by an entry whose nesting exhausts the stack.
BOOST_AUTO_TEST_CASE(is_rejected_when_it_is_nested_very_deeply)
{
    constexpr std::size_t depth = 130'000;
    auto nested = std::string(depth, '[') + std::string(depth, ']');
    BOOST_TEST(decode_backend_entry("i-1", nested).has_error());
    BOOST_TEST(decode_backend_entry("i-1", std::string(depth, '[')).has_error());
    auto nested_field = replaced(valid_entry, "\"ready\"", nested);
    BOOST_TEST(decode_backend_entry("i-1", nested_field).has_error());
    // Fields that are not read may hold anything.
    auto nested_extra = replaced(valid_entry, "{\"Addr\"", "{\"More\":" + nested + ",\"Addr\"");
    BOOST_TEST(decode_backend_entry("i-1", nested_extra).has_value());
}

// Guards against header lines that a server id brings into requests.
BOOST_AUTO_TEST_CASE(is_rejected_when_its_server_id_is_not_printable)
{
    for (const auto* id : {"i-1\r\nX-More: 1", "i 1", "i-\xff", "i-\x7f", "\t"}) {
        BOOST_TEST(decode_backend_entry(id, valid_entry).has_error());
    }
}

BOOST_AUTO_TEST_CASE(is_rejected_when_it_is_no_json_object_or_has_no_server_id)
{
    BOOST_TEST(decode_backend_entry("i-1", "\xff\xfe{").has_error());
    BOOST_TEST(decode_backend_entry("i-1", "[]").has_error());
    BOOST_TEST(decode_backend_entry("", valid_entry).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(is_decoded_with_routes_services_and_limits)
{
    auto decoded = decode_configuration(valid_configuration);
    BOOST_REQUIRE(decoded.has_value());
    const auto& it = decoded.value();
    BOOST_TEST(it.version == 7U);
    BOOST_TEST(it.routes.size() == 2U);
    BOOST_TEST((it.routes[0].kind == request_kind::non_idempotent));
    BOOST_TEST((it.routes[0].timeout == milliseconds{1200}));
    BOOST_TEST(it.routes[1].targets.size() == 2U);
    BOOST_TEST(it.routes[1].targets[0].weight == 9 * it.routes[1].targets[1].weight);
    BOOST_TEST(it.services.at(service_id{"index"}).is_keyed);
    BOOST_TEST(!it.services.at(service_id{"desk"}).is_keyed);
    BOOST_TEST((it.limits.idle_timeout == seconds{15}));
    BOOST_TEST(it.limits.max_body_bytes == 1000U);
}

BOOST_AUTO_TEST_CASE(routes_by_host_and_longest_prefix)
{
    auto decoded = decode_configuration(valid_configuration);
    route_table routes{decoded.value().routes};
    BOOST_TEST(routes.find("h.example", "/x/1")->name == "a");
    BOOST_TEST(routes.find("H.example:8080", "/x/y/1?q=/z/")->name == "b");
    BOOST_TEST(routes.find("h.example", "/xy/") == nullptr);
    BOOST_TEST(routes.find("other.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(treats_an_unknown_route_kind_as_non_idempotent)
{
    auto decoded = decode_configuration(replaced(valid_configuration, "\"idempotent\"", "\"odd\""));
    BOOST_TEST((decoded.value().routes[1].kind == request_kind::non_idempotent));
}

BOOST_AUTO_TEST_CASE(is_rejected_when_a_field_is_missing_or_has_another_type)
{
    for (const auto* field : {"\"Version\"", "\"Routes\"", "\"Services\"", "\"Host\"",
                              "\"PathPrefix\"", "\"RouteKind\"", "\"Split\""}) {
        BOOST_TEST(
            decode_configuration(replaced(valid_configuration, field, "\"other\"")).has_error());
    }
    BOOST_TEST(decode_configuration(replaced(valid_configuration, "\"r7\"", "7")).has_error());
    BOOST_TEST(decode_configuration(replaced(valid_configuration, "\"r7\"", "\"7\"")).has_error());
    BOOST_TEST(decode_configuration("{").has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(record_keys_and_durations)

BOOST_AUTO_TEST_CASE(record_keys_tell_configuration_from_evacuations)
{
    BOOST_TEST(is_configuration_key("config"));
    BOOST_TEST(!is_configuration_key("config2"));
    BOOST_TEST(evacuated_zone("evacuate/z1")->value() == "z1");
    BOOST_TEST(!evacuated_zone("other/z1").has_value());
}

BOOST_AUTO_TEST_CASE(durations_are_parsed_with_their_unit)
{
    BOOST_TEST((wire::parse_duration("1500ms") == milliseconds{1500}));
    BOOST_TEST((wire::parse_duration("2.5s") == milliseconds{2500}));
    for (const auto* text : {"", "ms", "5", "5m", "-1s", "1e99s", "nan s"}) {
        BOOST_TEST(!wire::parse_duration(text).has_value());
    }
    BOOST_TEST(wire::format_duration(milliseconds{4000}) == "4000ms");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
