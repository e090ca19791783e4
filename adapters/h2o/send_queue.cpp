#include "adapters/h2o/send_queue.h"

// Not <netinet/tcp.h>, whose tcp_info lacks the newer members.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace cornelswitch {

namespace {

/// A single probe may be lost on its way.
constexpr std::uint32_t max_unanswered_probes = 1;

} // namespace

auto send_queue::is_empty() const -> bool
{
    return unacknowledged_segments == 0 && unsent_bytes == 0;
}

auto send_queue::waits_for_reader() const -> bool
{
    // Without segments on their way, only the window keeps the kernel from sending.
    bool is_window_closed = !is_empty() && (is_window_zero || unacknowledged_segments == 0);
    return is_window_closed && unanswered_probes <= max_unanswered_probes;
}

auto read_send_queue(int fd) -> std::optional<send_queue>
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size < offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(info.tcpi_notsent_bytes)) {
        return std::nullopt;
    }
    // Every connected socket has received a segment. An emulated network stack may fill in the
    // structure without counting anything.
    if (info.tcpi_segs_in == 0) {
        return std::nullopt;
    }
    send_queue out;
    out.unacknowledged_segments = info.tcpi_unacked;
    out.unsent_bytes = info.tcpi_notsent_bytes;
    out.unanswered_probes = info.tcpi_probes;
    out.acknowledged_bytes = info.tcpi_bytes_acked;
    // Older kernels do not report the window.
    bool has_window = size >= offsetof(tcp_info, tcpi_snd_wnd) + sizeof(info.tcpi_snd_wnd);
    out.is_window_zero = has_window && info.tcpi_snd_wnd == 0;
    return out;
}

} // namespace cornelswitch
