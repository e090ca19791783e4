#include "gateway/workspace_directory.h"

#include <openssl/crypto.h>

#include <utility>

namespace cornelswitch {

workspace_directory::workspace_directory(std::vector<workspace_definition> definitions,
                                         std::shared_ptr<const keyed_digest> digest)
    : digest_{std::move(digest)}
{
    workspaces_.reserve(definitions.size());
    for (auto& it : definitions) {
        for (auto& key : it.api_keys) {
            by_key_.emplace(digest_->of(key), workspaces_.size());
            OPENSSL_cleanse(key.data(), key.size());
        }
        workspaces_.push_back(std::move(it.content));
    }
}

auto workspace_directory::find(std::string_view api_key) const -> const workspace*
{
    if (api_key.empty()) {
        return nullptr;
    }
    auto it = by_key_.find(digest_->of(api_key));
    return it == by_key_.end() ? nullptr : &workspaces_[it->second];
}

} // namespace cornelswitch
