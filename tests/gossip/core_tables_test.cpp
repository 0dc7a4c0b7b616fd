// Tests the core's rules against the tables of docs/design/gossip.md, one row at a time.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "gossip/core.h"
#include "gossip/single_node.h"
#include "support/tables.h"

namespace mothrack::gossip {
namespace {

using testing::Row;

// Requires that every reachable combination of the columns' words has exactly one row, and that every row is
// used. A cell lists words separated by commas, or has "any" or "-" if the column does not matter. `check` is
// called with the combination and its row.
void CheckEveryCombination(const std::string& heading,
                           const std::vector<std::pair<std::string, Texts>>& columns,
                           const std::function<bool(const Row&)>& is_reachable,
                           const std::function<void(const Row&, const Row&)>& check) {
  const auto rows = testing::TableOf(MOTHRACK_PEERS_PAGE, heading);
  std::set<const Row*> used_rows;
  std::size_t combinations = 1;
  for (const auto& [column, words] : columns) combinations *= words.size();
  for (std::size_t number = 0; number < combinations; ++number) {
    Row combination;
    std::size_t rest = number;
    for (const auto& [column, words] : columns) {
      combination[column] = words[rest % words.size()];
      rest /= words.size();
    }
    if (!is_reachable(combination)) continue;
    std::string text;
    std::vector<const Row*> matching;
    for (const Row& row : rows) {
      bool fits = true;
      for (const auto& [column, words] : columns) {
        const std::string& cell = row.at(column);
        std::istringstream list(cell);
        bool is_listed = cell == "any" || cell == "-";
        for (std::string word; std::getline(list >> std::ws, word, ',');)
          is_listed = is_listed || word == combination[column];
        fits = fits && is_listed;
      }
      if (fits) matching.push_back(&row);
    }
    for (const auto& [column, word] : combination) text += column + ": " + word + "; ";
    ASSERT_EQ(matching.size(), 1u) << heading << ": rows for " << text;
    used_rows.insert(matching.front());
    SCOPED_TRACE(text);
    check(combination, *matching.front());
  }
  EXPECT_EQ(used_rows.size(), rows.size()) << heading << ": a row that no combination uses";
}

// If nothing is stored, a received number cannot be lower or higher than the stored one.
bool IsReachable(const Row& combination) {
  return combination.at("held") != "nothing" ||
         (combination.at("life") == "same" &&
          (!combination.contains("version") || combination.at("version") == "same") &&
          (!combination.contains("incarnation") || combination.at("incarnation") == "same"));
}

TEST(Tables, Membership) {
  CheckEveryCombination(
      "Rules of membership",
      {{"held", {"nothing", "alive", "suspect", "dead", "left", "self"}},
       {"life", {"former", "same", "later"}},
       {"incarnation", {"lower", "same", "higher"}},
       {"news", kStates},
       {"by", {"gossip", "records"}}},
      IsReachable, [](const Row& combination, const Row& row) {
        SingleNode node(NoProbes());
        const bool self = combination.at("held") == "self", nothing = combination.at("held") == "nothing";
        const MembershipUpdate stored =
            MakeMember(self ? "self" : "m", 50, 5, StateOf(combination.at("held")));
        if (!self && !nothing) node.ReceiveUpdate(stored);
        node.Run(600);
        const auto number = [](const std::string& word, std::uint64_t of) {
          return word == "former" || word == "lower" ? of - 1 : word == "same" ? of : of + 1;
        };
        const MembershipUpdate update =
            MakeMember(stored.boot_id.name, number(combination.at("life"), 50),
                       number(combination.at("incarnation"), 5), StateOf(combination.at("news")));
        node.ReceiveUpdate(update,
                           combination.at("by") == "gossip" ? MessageKind::kGossip : MessageKind::kRecords);
        const MembershipUpdate after = self ? node.core.self() : node.core.Find("m")->update;
        EXPECT_EQ(after.state,
                  row.at("held then") == "as before" ? stored.state : StateOf(row.at("held then")));
        if (self) {
          const std::string response = after.boot_id.boot_number > 50   ? "born again"
                                       : after.incarnation == 5         ? "nothing"
                                       : node.core.counts().refuted > 0 ? "refutes"
                                                                        : "outdoes";
          EXPECT_EQ(response, row.at("oneself"));
          EXPECT_TRUE(response == "nothing" || Supersedes(after, update));
        } else if (row.at("told on") == "yes") {
          EXPECT_EQ(after.boot_id, update.boot_id);
          EXPECT_EQ(after.incarnation, update.incarnation);
        }
        EXPECT_EQ(node.Disseminates(update.boot_id.name), row.at("told on") == "yes");
      });
}

TEST(Tables, Values) {
  CheckEveryCombination(
      "Rules of values",
      {{"held", {"nothing", "shown", "lapsed"}},
       {"life", {"former", "same", "later"}},
       {"version", {"lower", "same", "higher"}},
       {"age", {"younger", "older", "over"}}},
      IsReachable, [](const Row& combination, const Row& row) {
        SingleNode node(NoProbes());
        node.ReceiveUpdate(MakeMember("m"));
        const Value stored = MakeValue(50, 5, 500, combination.at("held") == "lapsed" ? 800 : 5000, "held");
        if (combination.at("held") != "nothing") node.ReceiveValue(stored);
        node.Run(600);  // the stored value's age is then 1100 ms
        const auto number = [](const std::string& word, std::uint64_t of) {
          return word == "former" || word == "lower" ? of - 1 : word == "same" ? of : of + 1;
        };
        const std::string& age = combination.at("age");
        const Value value =
            MakeValue(number(combination.at("life"), 50), number(combination.at("version"), 5),
                      age == "younger" ? 100
                      : age == "older" ? 1200
                                       : 5000,
                      5000, "new");
        node.ReceiveValue(value);
        const bool disseminated = node.Disseminates("m", "k");
        if (combination.at("life") == "later") node.ReceiveUpdate(MakeMember("m", 51));
        const auto views = node.core.Values("k", At(node.now));
        const std::string& result = row.at("result");
        EXPECT_EQ(disseminated, row.at("told on") == "yes");
        if (result == "noted" || (result == "as before" && combination.at("held") != "shown") ||
            (result == "aged" && age == "over")) {
          EXPECT_TRUE(views.empty());
        } else {
          ASSERT_EQ(views.size(), 1u);
          EXPECT_EQ(views[0].value->bytes, result == "taken" ? "new" : "held");
          EXPECT_EQ(views[0].age.count(), (result == "as before" ? 1100 : value.age.count()) + 300);
        }
        if (result == "noted") {
          Value old = value;
          old.age = Duration(0);
          old.bytes = "an old copy";
          node.ReceiveValue(old);
          EXPECT_TRUE(node.core.Values("k", At(node.now)).empty());
        }
      });
}

TEST(Tables, Probes) {
  CheckEveryCombination(
      "Rules of probes",
      {{"what happened",
        {"acked", "acked by another", "no ack but all nacks", "no ack and a nack missing",
         "no ack and nobody to ask", "had to refute", "was stopped"}}},
      [](const Row&) { return true; },
      [](const Row& combination, const Row& row) {
        const std::string& what = combination.at("what happened");
        SingleNode node;
        if (what != "no ack and nobody to ask") {
          for (const char* name : {"a", "b", "c", "d"}) node.ReceiveUpdate(MakeMember(name));
        }
        // Two refutations raise the health score to 2, so that it can decrease as well.
        for (std::uint64_t i = 0; i < 2; ++i)
          node.ReceiveUpdate(MakeMember("self", 50, 5 + i, MemberState::kSuspect));
        std::string probed;
        std::uint64_t sequence = 0;
        Texts helpers;
        const auto run = [&] {
          for (const Datagram& sent : node.Run(50)) {
            if (sent.message.kind == MessageKind::kPing && probed.empty()) {
              probed = sent.address.substr(0, sent.address.find(':'));
              sequence = sent.message.sequence;
            }
            if (sent.message.kind == MessageKind::kPingRequest)
              helpers.push_back(sent.address.substr(0, sent.address.find(':')));
          }
        };
        while (probed.empty()) run();
        const auto answer = [&](const std::string& by, MessageKind kind) {
          Message message = From(by, kind);
          message.sequence = sequence;
          node.Receive(message);
        };
        if (what == "acked") answer(probed, MessageKind::kAck);
        if (what == "had to refute") node.ReceiveUpdate(MakeMember("self", 50, 7, MemberState::kDead));
        if (what == "was stopped") {
          node.now += 60'000;
          node.core.Tick(At(node.now), node.out);
        }
        if (what.find("by another") != std::string::npos || what.starts_with("no ack")) {
          for (int i = 0; i < 13; ++i) run();
          ASSERT_EQ(helpers.size(), what == "no ack and nobody to ask" ? 0u : 3u);
          if (what == "acked by another") answer(helpers[0], MessageKind::kAck);
          const std::size_t nacks = what == "no ack but all nacks"        ? 3
                                    : what == "no ack and a nack missing" ? 2
                                                                          : 0;
          for (std::size_t i = 0; i < nacks; ++i) answer(helpers[i], MessageKind::kNack);
          if (what.starts_with("no ack")) {
            while (node.core.counts().probes_failed == 0) run();
          }
        }
        EXPECT_EQ(node.core.health() - 2, std::stoi(row.at("health")));
        EXPECT_EQ(node.core.Find(probed)->update.state,
                  row.at("the one asked") == "suspect" ? MemberState::kSuspect : MemberState::kAlive);
      });
}

TEST(Tables, Times) {
  std::vector<std::string> sizes;
  const auto rows = testing::TableOf(MOTHRACK_PEERS_PAGE, "Times as a function of the fleet's size");
  for (const Row& row : rows) {
    sizes.push_back(row.at("members"));
    SCOPED_TRACE(row.at("members"));
    const std::size_t members = std::stoul(row.at("members"));
    for (const bool confirmed : {false, true}) {
      SingleNode node;
      for (std::size_t i = 2; i < members; ++i) node.ReceiveUpdate(MakeMember(Numbered("n", i)));
      ASSERT_EQ(node.core.alive(), members);
      // Relayed updates do not confirm the suspicion, whoever sends them.
      for (const char* by : {"n3", "n4", "n5"}) {
        Message relayed = From(by);
        relayed.updates = {MakeMember("n2", 50, 5, MemberState::kSuspect)};
        node.Receive(relayed);
      }
      if (confirmed) {
        for (const char* by : {"n3", "n4", "n5", "n5"}) {
          Message first_hand = From(by);
          first_hand.subject = MakeMember("n2", 50, 5, MemberState::kSuspect);
          node.Receive(first_hand);
        }
      }
      while (node.core.Find("n2")->update.state != MemberState::kDead) node.Run(1);
      EXPECT_EQ(node.now, std::stoi(row.at(confirmed ? "least suspicion ms" : "longest suspicion ms")));
    }
    SingleNode node;
    for (std::size_t i = 2; i < members; ++i) node.ReceiveUpdate(MakeMember(Numbered("n", i)));
    ASSERT_TRUE(node.core.Put("k", "v", Duration(600'000), At(0)));
    int disseminated = 0;
    for (const Datagram& sent : node.Run(120'000))
      disseminated += static_cast<int>(sent.message.values.size());
    EXPECT_EQ(disseminated, std::stoi(row.at("told at most")));
  }
  EXPECT_EQ(sizes, (Texts{"10", "100", "300", "2000"}));
}

}  // namespace
}  // namespace mothrack::gossip
