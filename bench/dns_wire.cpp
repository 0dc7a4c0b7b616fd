// bench_dns_wire: compares the time that src/dns, which reads only the fields that a forwarder needs, and
// ldns take to parse and rewrite an answer. Both are measured alternately in one run. docs/design/dns.md
// explains why src/dns has its own parser. Built only if libldns-dev is installed.
#include "standins/dns_wire.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "dns/message.h"

// This include must be the last one: it redefines `true` and `false`.
#include <ldns/ldns.h>

namespace {

using namespace mothrack::dns;

// Returns the mean time of a call of `work`.
template <typename Work>
double Nanoseconds(int calls, const Work& work) {
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) work();
  const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
  return took.count() / calls;
}

}  // namespace

int main() {
  constexpr int kCalls = 50000;
  constexpr int kRounds = 7;
  for (const int records : {1, 8, 60}) {
    mothrack::testing::QuerySpec client_query;
    client_query.edns_size = 1232;
    const Buffer query = mothrack::testing::MakeQuery(client_query);
    mothrack::testing::AnswerSpec spec;
    spec.records = records;
    spec.edns_size = 4096;
    const Buffer answer = mothrack::testing::MakeAnswer(query, spec);
    std::size_t sum = 0;
    std::vector<double> src_dns;
    std::vector<double> ldns;
    for (int round = 0; round < kRounds; ++round) {
      src_dns.push_back(Nanoseconds(kCalls, [&] {
        Layout layout;
        if (ParseMessage(answer, layout) != ParseStatus::kOk) return;
        sum += ToClientResponse(answer, layout, ClientQuery{7, 0, true, false, 1232}, 1232).size();
      }));
      ldns.push_back(Nanoseconds(kCalls, [&] {
        ldns_pkt* packet = nullptr;
        if (ldns_wire2pkt(&packet, answer.data(), answer.size()) != LDNS_STATUS_OK) return;
        ldns_pkt_set_id(packet, 7);
        ldns_pkt_set_edns_udp_size(packet, 1232);
        std::uint8_t* wire = nullptr;
        std::size_t size = 0;
        if (ldns_pkt2wire(&wire, packet, &size) == LDNS_STATUS_OK) sum += size;
        std::free(wire);
        ldns_pkt_free(packet);
      }));
    }
    std::sort(src_dns.begin(), src_dns.end());
    std::sort(ldns.begin(), ldns.end());
    std::printf("%2d records, %4zu bytes: src/dns %7.0f ns, ldns %7.0f ns, ratio %.1f\n", records,
                answer.size(), src_dns[kRounds / 2], ldns[kRounds / 2],
                ldns[kRounds / 2] / src_dns[kRounds / 2]);
    if (sum == 0) return 1;
  }
  return 0;
}
