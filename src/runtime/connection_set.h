// The open client connections of one server, and the choice of the one to evict when the server runs out of
// descriptors.
//
// Owned by the server that accepts the connections, used on the thread of its event loop only. Its size is
// bounded by what the server admits (Acceptor::Owner), not by this class. A connection removes itself when it
// closes, so iterate over a Snapshot() if connections may be closed meanwhile.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mothrack::runtime {

template <typename Connection>
class ConnectionSet {
 public:
  void Add(std::shared_ptr<Connection> connection) { connections_.insert(std::move(connection)); }
  // No effect if it is not in the set.
  void Remove(const std::shared_ptr<Connection>& connection) { connections_.erase(connection); }

  bool empty() const { return connections_.empty(); }
  std::size_t size() const { return connections_.size(); }

  // Returns the connections that are open now. The result keeps them alive even if they leave the set.
  std::vector<std::shared_ptr<Connection>> Snapshot() const {
    return {connections_.begin(), connections_.end()};
  }

  // Removes and returns all connections, for the destruction of the server.
  std::vector<std::shared_ptr<Connection>> TakeAll() {
    const auto all = std::exchange(connections_, {});
    return {all.begin(), all.end()};
  }

  // Returns the connection with the lowest rank, or null if none has a rank. `rank_of` is called once for
  // each connection and must not add or remove any. It returns a std::optional of a type with operator<,
  // which is empty for a connection that must stay open.
  template <typename RankOf>
  std::shared_ptr<Connection> Lowest(RankOf rank_of) const {
    std::shared_ptr<Connection> best;
    decltype(rank_of(*best)) lowest;
    for (const auto& connection : connections_) {
      auto rank = rank_of(*connection);
      if (!rank || (best && !(*rank < *lowest))) continue;
      best = connection;
      lowest = std::move(rank);
    }
    return best;
  }

 private:
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace mothrack::runtime
