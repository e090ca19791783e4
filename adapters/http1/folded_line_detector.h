#pragma once

#include <cstdint>
#include <string_view>

namespace cornelswitch {

/// Finds lines of a header section that begin with a blank. Such a line continues the value of the
/// line before it (RFC 9112, section 5.2); servers must not send it, and readers that treat it as a
/// field of its own find another end of the body.
class folded_line_detector {
public:
    /// Takes the next bytes of a message, from its start line on. Returns true when they contain a
    /// folded line. Bytes after the header section are ignored.
    auto feed(std::string_view bytes) -> bool;
    /// Prepares for the next message.
    auto reset() -> void { position_ = position::before_message; }

private:
    enum class position : std::uint8_t { before_message, inside_line, line_start, after_headers };

    position position_{position::before_message};
};

} // namespace cornelswitch
