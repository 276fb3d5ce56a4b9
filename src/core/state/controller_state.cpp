#include "core/state/controller_state.h"

#include <memory>

namespace bendtide {

void ControllerState::commit_fenced(const Shard& shard, Transaction transaction,
                                    KeyValueClient::Callback callback, RequestPriority priority) {
  const std::string lease_key = records::lease_key(shard.name);
  const auto sent_token = std::make_shared<FencingToken>();
  const auto current_shard = [this, name = shard.name, leadership_term = shard.leadership_term] {
    return shard_in_term(name, leadership_term);
  };
  auto add_fence = [current_shard, lease_key, sent_token](Transaction& unfenced) {
    const Shard* current = current_shard();
    if (current == nullptr || current->is_fence_superseded()) return false;
    *sent_token = current->fencing_token;
    unfenced.compares.insert(unfenced.compares.begin(), {lease_key, lease_record_revision(*sent_token)});
    return true;
  };
  store.commit(
      std::move(transaction),
      [current_shard, lease_key, sent_token, callback = std::move(callback)](const StoreResponse& response) {
        const bool fence_conflict =
            response.outcome == StoreResponse::Outcome::conflict && response.condition_failed_on(lease_key);
        Shard* current = current_shard();
        if (fence_conflict && current != nullptr) current->superseded_token = *sent_token;
        callback(response);
      },
      priority, std::move(add_fence));
}

}  // namespace bendtide
