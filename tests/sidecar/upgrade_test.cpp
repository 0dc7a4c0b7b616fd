// Hot restart: a successor process takes over from its predecessor under load.

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/peers.h"
#include "support/temporary_directory.h"

namespace mothrack::testing {
namespace {

// The state directory that two processes share.
class SharedDirectory : public TemporaryDirectory {
 public:
  SharedDirectory() : TemporaryDirectory("shared") {}
  // The path of the file with the bans; empty if there is no such file.
  std::string BansFile() const {
    for (const auto& entry : std::filesystem::directory_iterator(path())) {
      if (entry.path().extension() == ".bans") return entry.path();
    }
    return {};
  }
};

Node::Options OptionsIn(const SharedDirectory& shared, const json& known) {
  Node::Options options;
  options.known = known;
  options.ops = "127.0.0.1:0";
  options.tmpdir = shared.path();
  return options;
}

bool Ready(Node& node) {
  if (!node.Listening() || !node.OpsListening()) return false;
  const AdminClient ops(node.ops());
  return Eventually([&] {
    const auto answer = ops.Get("/ops/readiness");
    return answer && answer->status == 200;
  });
}

int Put(Node& node, const std::string& target, const std::string& uid = "") {
  const auto answer = AdminClient(node.ops()).Put(target, uid.empty() ? "" : json{{"name", uid}}.dump());
  return answer ? answer->status : 0;
}

// A client that sends requests one after the other, like those of the platform: it keeps its connection, and
// if that is closed before any byte of an answer, it retries the request once with the same id on a new one.
class LoadingClient {
 public:
  LoadingClient(std::uint16_t port, std::string name)
      : port_(port), name_(std::move(name)), thread_([this] { Run(); }) {}
  ~LoadingClient() { Stop(); }
  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }
  int answered() const { return answered_; }
  std::vector<std::string> errors() const { return errors_; }

 private:
  void Run() {
    std::unique_ptr<Client> client;
    for (int i = 0; !stop_; ++i) {
      const std::string id = name_ + "-" + std::to_string(i);
      std::optional<Response> response;
      for (int tries = 0; tries < 2 && !response; ++tries) {
        try {
          if (!client) client = std::make_unique<Client>(port_);
          response = client->Post("/submit/k", id, "sheet");
        } catch (const std::exception& e) {
          errors_.push_back(id + ": " + e.what());
        }
        if (!response || !response->keep_alive()) client.reset();
      }
      if (!response) {
        errors_.push_back(id + ": no answer");
      } else if (response->result_int() != 200) {
        errors_.push_back(id + ": " + std::to_string(response->result_int()));
      } else {
        ++answered_;
      }
    }
  }

  const std::uint16_t port_;
  const std::string name_;
  std::atomic<bool> stop_{false};
  std::atomic<int> answered_{0};
  std::vector<std::string> errors_;  // read after Stop()
  std::thread thread_;
};

TEST(Upgrade, ThirtyInARowUnderLoadLoseAndRepeatNoRequest) {
  std::mutex mutex;
  std::map<std::string, int> runs;
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    {
      const std::lock_guard lock(mutex);
      ++runs[std::string(request["X-Request-ID"])];
    }
    wire.Answer(200, "done");
  });
  const SharedDirectory shared;
  const json list = List({Target("u1", upstream.address())});
  Discovery discovery(list);
  auto options = OptionsIn(shared, list);
  options.discovery = discovery.address();
  auto serving = std::make_unique<Node>(options);
  ASSERT_TRUE(Ready(*serving));
  const std::uint16_t port = serving->port();
  std::vector<std::unique_ptr<LoadingClient>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_unique<LoadingClient>(port, "c" + std::to_string(i)));
  }
  for (int i = 0; i < 30; ++i) {
    auto next = std::make_unique<Node>(options);
    ASSERT_TRUE(Ready(*next)) << next->log();
    ASSERT_EQ(next->port(), port) << serving->log() << next->log();
    const int before = clients[0]->answered();
    serving->Signal(SIGTERM);
    EXPECT_EQ(serving->Wait(), 0);
    ASSERT_TRUE(Eventually([&] { return clients[0]->answered() > before + 1; }));
    serving = std::move(next);
  }
  int answered = 0;
  for (const auto& client : clients) {
    client->Stop();
    answered += client->answered();
    EXPECT_TRUE(client->errors().empty()) << client->errors().front();
  }
  const std::lock_guard lock(mutex);
  EXPECT_EQ(runs.size(), static_cast<std::size_t>(answered));
  for (const auto& [id, times] : runs) EXPECT_EQ(times, 1) << id;
}

TEST(Upgrade, BansHoldInBothProcessesWhicheverReceivedThem) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  const SharedDirectory shared;
  const auto options = OptionsIn(shared, List({Target("ua", a.address()), Target("ub", b.address())}));
  Node old(options);
  ASSERT_TRUE(Ready(old));
  Client keep_alive(old.port());
  ASSERT_TRUE(keep_alive.Get("/page/x", "k0"));
  EXPECT_EQ(Put(old, "/ops/upstreams/down", "ua"), 200);
  Node successor(options);
  ASSERT_TRUE(Ready(successor));
  const auto answerer = [](Client& client, const std::string& id) {
    const auto response = client.Get("/page/x", id);
    return response ? response->body().substr(0, 1) : "none";
  };
  Client late(successor.port());
  for (int i = 0; i < 6; ++i) EXPECT_EQ(answerer(late, "l" + std::to_string(i)), "b");
  // While both processes run: lifts the ban at the old one, then bans the other upstream at the new one.
  EXPECT_EQ(Put(old, "/ops/upstreams/up", "ua"), 200);
  const auto banned = [](Node& node) {
    const auto stats = AdminClient(node.ops()).Get("/ops/stats");
    return stats ? stats->body["cluster_unhealthy"] : json();
  };
  ASSERT_TRUE(Eventually([&] { return banned(successor) == 0; }));
  EXPECT_EQ(Put(successor, "/ops/upstreams/down", "ub"), 200);
  ASSERT_TRUE(Eventually([&] { return banned(old) == 1; }));
  for (int i = 0; i < 6; ++i) EXPECT_EQ(answerer(keep_alive, "k" + std::to_string(i + 1)), "a");
  for (int i = 0; i < 6; ++i) EXPECT_EQ(answerer(late, "m" + std::to_string(i)), "a");
}

TEST(Upgrade, RequestIdsOfThePredecessorAreRejectedAtTheSuccessor) {
  std::promise<void> release;
  const auto open = release.get_future().share();
  Upstream upstream([&](Wire& wire, const Request&, int) {
    open.wait();
    wire.Answer(200, "done");
  });
  const SharedDirectory shared;
  const auto options = OptionsIn(shared, List({Target("u1", upstream.address())}));
  Node old(options);
  ASSERT_TRUE(Ready(old));
  Client first(old.port());
  ASSERT_TRUE(first.Send(PostText("/submit/k", "early", "x")));
  ASSERT_TRUE(Eventually([&] { return upstream.requests().size() == 1; }));
  Node successor(options);
  ASSERT_TRUE(Ready(successor));
  Client again(successor.port());
  const auto duplicate = again.Post("/submit/k", "early", "x");
  ASSERT_TRUE(duplicate);
  EXPECT_EQ(duplicate->result_int(), 400U);
  old.Signal(SIGTERM);
  release.set_value();
  EXPECT_EQ(first.Read()->result_int(), 200U);
  EXPECT_EQ(old.Wait(), 0);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Upgrade, SuccessorKeepsSocketAndBansOfAKilledPredecessor) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  const SharedDirectory shared;
  const auto options = OptionsIn(shared, List({Target("ua", a.address()), Target("ub", b.address())}));
  auto old = std::make_unique<Node>(options);
  ASSERT_TRUE(Ready(*old));
  EXPECT_EQ(Put(*old, "/ops/upstreams/down", "ua"), 200);
  Node successor(options);
  ASSERT_TRUE(Ready(successor));
  old->Signal(SIGKILL);
  old->Wait();
  Client client(successor.port());
  for (int i = 0; i < 4; ++i) EXPECT_EQ(client.Get("/page/x", "i" + std::to_string(i))->body(), "b /page/x");
}

TEST(Upgrade, PredecessorServesAgainAfterItsSuccessorFailed) {
  Upstream upstream(Upstream::Echo("u"));
  const SharedDirectory shared;
  const auto options = OptionsIn(shared, List({Target("u1", upstream.address())}));
  Node old(options);
  ASSERT_TRUE(Ready(old));
  auto broken = options;
  broken.config_text = "{";
  Node ends(broken);
  EXPECT_EQ(ends.Wait(), 1);
  for (int i = 0; i < 2; ++i) {
    Node dies(options);
    ASSERT_TRUE(Ready(dies));
    ASSERT_EQ(dies.port(), old.port());
    dies.Signal(SIGKILL);
    dies.Wait();
    ASSERT_TRUE(Eventually([&] {
      const std::string log = old.log();
      const std::string event = "the successor is gone";
      const auto at = log.find(event);
      return at != std::string::npos && (i == 0 || log.find(event, at + 1) != std::string::npos);
    }));
    Client client(old.port());
    const auto response = client.Get("/page/x", "i" + std::to_string(i));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  Node last(options);
  ASSERT_TRUE(Ready(last));
  ASSERT_EQ(last.port(), old.port());
}

TEST(Upgrade, BansOutliveAProcessThatDoesNotAnswer) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  const SharedDirectory shared;
  const auto options = OptionsIn(shared, List({Target("ua", a.address()), Target("ub", b.address())}));
  {
    Node old(options);
    ASSERT_TRUE(Ready(old));
    EXPECT_EQ(Put(old, "/ops/upstreams/down", "ua"), 200);
  }
  {
    Node next(options);
    ASSERT_TRUE(Ready(next));
    Client client(next.port());
    for (int i = 0; i < 4; ++i)
      EXPECT_EQ(client.Get("/page/x", "i" + std::to_string(i))->body(), "b /page/x");
  }
  // A file that is truncated or has a later version is logged, and ignored completely.
  const std::string file = shared.BansFile();
  ASSERT_FALSE(file.empty());
  for (const char* text : {"{\"version\":1,\"ba", "{\"version\":2,\"bans\":[\"ua\"]}"}) {
    std::ofstream(file) << text;
    Node next(options);
    ASSERT_TRUE(Ready(next));
    EXPECT_NE(next.log().find(" error bans_ignored file=" + file + " cause="), std::string::npos)
        << next.log();
    Client client(next.port());
    std::set<std::string> answers;
    for (int i = 0; i < 6; ++i) answers.insert(client.Get("/page/x", "i" + std::to_string(i))->body());
    EXPECT_EQ(answers.size(), 2U);
  }
}

TEST(Upgrade, AQuiescedSidecarStaysQuiesced) {
  const SharedDirectory shared;
  const auto options = OptionsIn(shared, List({}));
  Node old(options);
  ASSERT_TRUE(Ready(old));
  EXPECT_EQ(Put(old, "/ops/drain/start"), 200);
  Node successor(options);
  ASSERT_TRUE(successor.OpsListening());
  const auto ready = [&](Node& node) {
    const auto answer = AdminClient(node.ops()).Get("/ops/readiness");
    return answer ? answer->status : 0;
  };
  ASSERT_TRUE(Eventually([&] { return old.log().find("a successor takes clients") != std::string::npos; }));
  EXPECT_EQ(ready(successor), 503);
  EXPECT_EQ(Put(successor, "/ops/drain/stop"), 200);
  EXPECT_EQ(ready(successor), 200);
  EXPECT_TRUE(Eventually([&] { return ready(old) == 200; }));
}

}  // namespace
}  // namespace mothrack::testing
