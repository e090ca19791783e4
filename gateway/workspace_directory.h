#pragma once

#include "adapters/keyed_digest.h"
#include "gateway/workspace.h"

#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Workspaces of one configuration version, found by API key. It keeps digests of the keys, not the
/// keys.
class workspace_directory {
public:
    /// Takes over the definitions, whose keys must be unique, and erases the keys' text.
    workspace_directory(std::vector<workspace_definition> definitions,
                        std::shared_ptr<const keyed_digest> digest);

    /// Returns null for a key that no workspace holds. The time does not depend on how much of the
    /// key is right.
    auto find(std::string_view api_key) const -> const workspace*;
    auto workspaces() const -> const std::vector<workspace>& { return workspaces_; }

private:
    struct digest_hash {
        auto operator()(const keyed_digest::value& it) const -> std::size_t
        {
            std::size_t out = 0;
            std::memcpy(&out, it.data(), sizeof(out));
            return out;
        }
    };
    struct digest_equality {
        auto operator()(const keyed_digest::value& left, const keyed_digest::value& right) const
            -> bool
        {
            return keyed_digest::equals(left, right);
        }
    };

    std::shared_ptr<const keyed_digest> digest_;
    std::vector<workspace> workspaces_;
    /// Index in `workspaces_` by digest of an API key.
    std::unordered_map<keyed_digest::value, std::size_t, digest_hash, digest_equality> by_key_;
};

} // namespace cornelswitch
