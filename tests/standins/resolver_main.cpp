// standin_resolver PORT [silent]: a resolver for manual tests with dig and dnsperf. Port 0 selects a free
// port. It prints the port. Answers each query with one record, and "bigN.example.org" with N records
// (truncated over UDP if they exceed the size that the query allows); with "silent" it answers none. On
// SIGTERM or SIGINT it prints how many queries it received and exits.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "standins/resolver.h"

namespace {

using mothrack::testing::AnswerSpec;
using mothrack::testing::EdnsSizeOf;
using mothrack::testing::MakeAnswer;
using mothrack::testing::NameOf;
using mothrack::testing::StandinResolver;

void Answer(StandinResolver::Responder& responder) {
  AnswerSpec spec;
  spec.edns_size = EdnsSizeOf(responder.query()) >= 0 ? 4096 : -1;
  const std::string name = NameOf(responder.query());
  if (name.starts_with("big")) spec.records = std::atoi(name.c_str() + 3);
  auto answer = MakeAnswer(responder.query(), spec);
  const auto max_size = static_cast<std::size_t>(std::max(512, EdnsSizeOf(responder.query())));
  if (responder.via() == StandinResolver::Via::kUdp && answer.size() > max_size) {
    spec.truncated = true;
    answer = MakeAnswer(responder.query(), spec);
  }
  responder.Send(answer);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: standin_resolver PORT [silent]\n";
    return 2;
  }
  sigset_t end;
  sigemptyset(&end);
  sigaddset(&end, SIGTERM);
  sigaddset(&end, SIGINT);
  sigprocmask(SIG_BLOCK, &end, nullptr);
  const bool silent = argc > 2 && std::string(argv[2]) == "silent";
  StandinResolver resolver(silent ? StandinResolver::Unresponsive() : Answer, true,
                           static_cast<std::uint16_t>(std::atoi(argv[1])));
  resolver.StopRecording();
  std::cout << "port " << resolver.port() << std::endl;
  int number = 0;
  sigwait(&end, &number);
  std::cout << "udp " << resolver.udp_queries() << " tcp " << resolver.tcp_queries() << std::endl;
  return 0;
}
