// Reports of the admin API: process, configuration, requests and upstreams.
#include <sys/stat.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>

#include "admin/admin_fixture.h"
#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/dns_client.h"
#include "standins/dns_wire.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace mothrack::testing {
namespace {

TEST(AdminApi, ReportsTheProcessTheConfigurationAndTheUpstreams) {
  const AdminDirectory directory;
  Upstream upstream(Upstream::Echo("u"));
  Node node(HttpOptions(AdminSectionAt(directory.address()),
                        List({Target("u1", upstream.address()), Target("u2", "127.0.0.1:9", "leaving")})));
  ASSERT_TRUE(node.Listening());
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  struct stat info {};
  ASSERT_EQ(::stat(directory.socket().c_str(), &info), 0);
  EXPECT_EQ(info.st_mode & 0777, 0600U);

  Client client(node.port());
  for (int i = 0; i < 3; ++i) ASSERT_TRUE(client.Get("/page/k", "v" + std::to_string(i)));
  const auto answer = AdminClient(directory.address()).Get("/v1/status");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  const json& body = answer->body;
  EXPECT_EQ(body["name"], "t1");
  EXPECT_EQ(body["state"], "ready");
  EXPECT_LE(body["since_ms"], body["now_ms"]);
  EXPECT_EQ(body["configuration"]["generation"], 1);
  EXPECT_EQ(body["configuration"]["hash"].get<std::string>().size(), 16U);
  EXPECT_EQ(body["process"]["pid"], node.pid());
  EXPECT_EQ(body["missed_wakeups"], 0);
  EXPECT_GT(body["process"]["memory_bytes"], 1 << 20);
  EXPECT_GE(body["process"]["descriptors"], 8);
  EXPECT_LE(body["process"]["descriptors"], node.descriptors() + 1)
      << "open after the call, which had a connection of its own";

  ASSERT_EQ(body["pools"].size(), 1U);
  const json& pool = body["pools"][0];
  EXPECT_EQ(pool["open"], 0);
  ASSERT_EQ(pool["counters"].size(), 1U) << pool;
  EXPECT_EQ(pool["counters"][0]["class"], "page");
  EXPECT_EQ(pool["counters"][0]["taken"], 3);
  EXPECT_EQ(pool["counters"][0]["served"], 3);
  EXPECT_EQ(pool["counters"][0]["failed"], 0);
  ASSERT_EQ(pool["upstreams"].size(), 2U);
  EXPECT_EQ(pool["upstreams"][0]["id"], "u1");
  EXPECT_EQ(pool["upstreams"][0]["state"], "serving");
  EXPECT_EQ(pool["upstreams"][0]["in_flight"], 0);
  EXPECT_EQ(pool["upstreams"][1]["state"], "draining");
  EXPECT_FALSE(pool["more"]);
}

TEST(AdminApi, IsDisabledUnlessConfigured) {
  Node node(DnsOptions(DnsSection(1)));
  ASSERT_TRUE(node.DnsListening());
  const int without = node.descriptors();
  const AdminDirectory directory;
  Node with(DnsOptions(DnsSection(1) + AdminSectionAt(directory.address())));
  ASSERT_EQ(AdminAddressOf(with), directory.address());
  EXPECT_EQ(with.descriptors(), without + 1);
  EXPECT_EQ(node.log().find("admin"), std::string::npos);
}

TEST(AdminApi, CountsRequestsInFlightRejectedFailedAndDisconnected) {
  const AdminDirectory directory;
  std::atomic<bool> answers{false};
  Upstream upstream([&](Wire& wire, const Request&, int) {
    Eventually([&] { return answers.load(); });
    wire.Answer(200, "late");
  });
  Node node(HttpOptions(AdminSectionAt(directory.address()), List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  const AdminClient admin(directory.address());
  Client client(node.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "a1", "x", 10000)));
  EXPECT_TRUE(Eventually([&] {
    const auto answer = admin.Get("/v1/status");
    return answer && answer->status == 200 && answer->body["pools"][0]["open"] == 1 &&
           answer->body["pools"][0]["upstreams"][0]["in_flight"] == 1;
  }));
  {
    Client disconnecting(node.port());
    ASSERT_TRUE(disconnecting.Send(PostText("/submit/k", "a2", "x", 10000)));
    EXPECT_TRUE(Eventually([&] {
      const auto answer = admin.Get("/v1/status");
      return answer && answer->status == 200 && answer->body["pools"][0]["open"] == 2;
    }));
  }
  EXPECT_TRUE(Eventually([&] {
    const auto answer = admin.Get("/v1/status");
    return answer && answer->status == 200 && answer->body["pools"][0]["counters"][0]["left"] == 1;
  }));
  answers = true;
  EXPECT_TRUE(Eventually([&] {
    const auto answer = admin.Get("/v1/status");
    return answer && answer->status == 200 && answer->body["pools"][0]["counters"][0]["served"] == 1 &&
           answer->body["pools"][0]["upstreams"][0]["in_flight"] == 0;
  }));
}

TEST(AdminApi, ReportsWhichUpstreamIsEjectedUntilWhenAndWhy) {
  const AdminDirectory directory;
  StandinResolver dead([](StandinResolver::Responder& responder) {
    AnswerSpec spec;
    spec.rcode = 2;
    responder.Answer(spec);
  });
  StandinResolver good(StandinResolver::Echo());
  Node node(DnsOptions("[dns]\nlisten = [\"127.0.0.1:0\"]\n[[dns.resolver]]\nuid = \"dead\"\nendpoint = \"" +
                       dead.address() + "\"\n[[dns.resolver]]\nuid = \"good\"\nendpoint = \"" +
                       good.address() + "\"\n" + AdminSectionAt(directory.address())));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const AdminClient admin(directory.address());
  json ejected;
  std::uint16_t id = 0;
  EXPECT_TRUE(Eventually([&] {
    for (int i = 0; i < 20; ++i) {
      QuerySpec spec;
      spec.name = "a.org";
      spec.id = id++;
      if (!client.Query(MakeQuery(spec))) return false;
    }
    const auto answer = admin.Get("/v1/status");
    if (!answer || answer->status != 200) return false;
    ejected = answer->body["pools"][0]["upstreams"][0];
    return ejected["id"] == "dead" && ejected.contains("ejected") &&
           ejected["ejected"]["until_ms"] > answer->body["now_ms"];
  }));
  EXPECT_NE(ejected["ejected"]["why"].get<std::string>().find("failures in a row"), std::string::npos)
      << ejected;
}

TEST(AdminApi, PagesThroughManyUpstreams) {
  const AdminDirectory directory;
  Node node(DnsOptions(DnsSection(250) + AdminSectionAt(directory.address())));
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  const AdminClient admin(directory.address());
  std::set<std::string> seen;
  std::string after;
  for (int page = 0; page < 3; ++page) {
    std::string escaped;
    for (const char c : after) escaped += c == ' ' ? std::string("%20") : std::string(1, c);
    const auto answer = admin.Get("/v1/status?after=" + escaped);
    ASSERT_TRUE(answer);
    const json& pool = answer->body["pools"][0];
    EXPECT_EQ(pool["upstreams"].size(), page < 2 ? 100U : 50U);
    EXPECT_EQ(pool["more"], page < 2);
    for (const json& upstream : pool["upstreams"])
      EXPECT_TRUE(seen.insert(upstream["id"]).second) << upstream;
    after = pool["upstreams"].back()["id"];
  }
  EXPECT_EQ(seen.size(), 250U);
}

}  // namespace
}  // namespace mothrack::testing
