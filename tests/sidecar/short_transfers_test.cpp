// Writes and reads that move fewer bytes than requested.
#include <string>

#include "gtest/gtest.h"
#include "sidecar/faulty_service.h"
#include "standins/admin_client.h"

namespace mothrack::testing {
namespace {

// Every second write moves one byte only: answers, requests and discovery calls still complete.
TEST(ShortTransfers, EveryWriterCompletes) {
  Service service;
  CallFaults& faults = service.faults.plan().Of(SystemCall::kSend);
  faults.every = 2;
  faults.remaining = -1;
  ASSERT_TRUE(service.Start()) << service.node.log();
  EXPECT_TRUE(service.Serves(1500)) << service.served() << " were served\n" << service.node.log();
  // Watches of discovery and answers of the admin API are written in pieces, too.
  const int calls = service.discovery.calls();
  service.discovery.Publish(service.Targets());
  EXPECT_TRUE(Eventually([&] { return service.discovery.calls() > calls + 2; }));
  const AdminClient operator_client(service.admin());
  for (int i = 0; i < 5; ++i) {
    const auto answer = operator_client.Get("/v1/status");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_TRUE(answer->body.contains("pools"));
  }
  EXPECT_GT(faults.hits, 1000U);
  service.ExpectNoRequestLostOrRepeated();
}

// Every second read moves one byte only.
TEST(ShortTransfers, EveryReaderCompletes) {
  Service service;
  CallFaults& faults = service.faults.plan().Of(SystemCall::kReceive);
  faults.every = 2;
  faults.remaining = -1;
  ASSERT_TRUE(service.Start()) << service.node.log();
  EXPECT_TRUE(service.Serves(500)) << service.node.log();
  service.ExpectNoRequestLostOrRepeated();
}

// A long body is streamed in both directions.
TEST(ShortTransfers, LongBodiesArriveComplete) {
  const std::string body(3'000'000, 'b');
  FaultPlanFile faults;
  Upstream upstream([&](Wire& wire, const Request& request, int) { wire.Answer(200, request.body()); });
  const json upstreams = List({Target("u1", upstream.address())});
  Discovery discovery(upstreams);
  Node::Options options;
  options.discovery = discovery.address();
  options.known = upstreams;  // the first request may arrive before discovery's list
  options.fault_plan = faults.path();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  for (const SystemCall call : {SystemCall::kSend, SystemCall::kReceive}) {
    CallFaults& plan = faults.plan().Of(call);
    plan.every = 2;
    plan.remaining = -1;
    Client client(node.port());
    const auto response =
        client.Post("/submit/k", "long" + std::to_string(static_cast<int>(call)), body, 20000);
    ASSERT_TRUE(response) << node.log();
    EXPECT_EQ(response->result_int(), 200U);
    EXPECT_TRUE(response->body() == body) << response->body().size();
    plan.remaining = 0;
  }
}

}  // namespace
}  // namespace mothrack::testing
