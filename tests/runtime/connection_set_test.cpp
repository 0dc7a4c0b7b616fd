// Tests the set of a server's open connections, and the choice of the one to evict first.
#include "runtime/connection_set.h"

#include <memory>
#include <optional>
#include <vector>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

struct Connection {
  std::optional<int> rank;
};

TEST(ConnectionSet, LowestIgnoresConnectionsWithoutARank) {
  runtime::ConnectionSet<Connection> connections;
  const auto rank_of = [](const Connection& connection) { return connection.rank; };
  EXPECT_EQ(connections.Lowest(rank_of), nullptr);
  connections.Add(std::make_shared<Connection>(std::nullopt));
  EXPECT_EQ(connections.Lowest(rank_of), nullptr);
  const auto lowest = std::make_shared<Connection>(1);
  connections.Add(std::make_shared<Connection>(2));
  connections.Add(lowest);
  connections.Add(std::make_shared<Connection>(3));
  EXPECT_EQ(connections.Lowest(rank_of), lowest);
}

TEST(ConnectionSet, ConnectionsMayLeaveWhileASnapshotIsIterated) {
  runtime::ConnectionSet<Connection> connections;
  for (int i = 0; i < 3; ++i) connections.Add(std::make_shared<Connection>(i));
  for (const auto& connection : connections.Snapshot()) connections.Remove(connection);
  EXPECT_TRUE(connections.empty());
}

}  // namespace
}  // namespace mothrack
