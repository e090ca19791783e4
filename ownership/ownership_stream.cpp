#include "ownership/ownership_stream.h"

#include "ownership/snapshot_codec.h"

#include <utility>

namespace cornelswitch {

namespace {

auto decode_chunk(const log_record& record) -> std::optional<snapshot_chunk>
{
    auto decoded = decode_record(record.data);
    if (!decoded) {
        return std::nullopt;
    }
    auto* chunk = std::get_if<snapshot_chunk>(&decoded.value().body);
    if (chunk == nullptr || chunk->end > record.offset) {
        return std::nullopt;
    }
    return std::move(*chunk);
}

} // namespace

auto ownership_stream::apply(const log_record& record) -> apply_result
{
    auto out = state_.apply(record);
    if (out.is_snapshot) {
        count_chunk(record);
    }
    return out;
}

auto ownership_stream::count_chunk(const log_record& record) -> void
{
    auto chunk = decode_chunk(record);
    if (!chunk || (newest_snapshot_end_ && chunk->end <= *newest_snapshot_end_)) {
        return;
    }
    auto id = std::tuple{chunk->end.value(), chunk->digest, chunk->count};
    if (id < incomplete_snapshot_) {
        return;
    }
    if (id != incomplete_snapshot_) {
        incomplete_snapshot_ = id;
        chunks_seen_.clear();
    }
    chunks_seen_.insert(chunk->index);
    if (chunks_seen_.size() == chunk->count) {
        newest_snapshot_end_ = chunk->end;
        chunks_seen_.clear();
    }
}

auto ownership_stream::was_applied(const record_header& header) const -> bool
{
    return state_.was_applied(header);
}

auto ownership_stream::scan(const log_record& record) -> void
{
    auto chunk = decode_chunk(record);
    if (chunk) {
        assembler_.add(*chunk);
    }
}

auto ownership_stream::install_scanned(log_offset first) -> bool
{
    const auto* snapshot = assembler_.newest();
    if (snapshot == nullptr || snapshot->end() < first || snapshot->end() <= state_.end()) {
        return false;
    }
    newest_snapshot_end_ = snapshot->end();
    state_ = *assembler_.take();
    return true;
}

auto ownership_stream::snapshot_records() const -> std::vector<record_encoder>
{
    std::vector<record_encoder> out;
    for (auto& chunk : snapshot_codec::to_chunks(snapshot_codec::encode(state_), state_.end())) {
        out.emplace_back([body = std::move(chunk)](const record_header& header) {
            return encode_record({header, body});
        });
    }
    return out;
}

auto ownership_stream::install_copy(std::string_view bytes) -> bool
{
    auto copy = snapshot_codec::decode(bytes);
    if (!copy || copy.value().end() < state_.end()) {
        return false;
    }
    if (copy.value().end() > state_.end()) {
        state_ = std::move(copy).value();
    }
    return true;
}

} // namespace cornelswitch
