// Tests the parsing of addresses as operators and discovery write them.
#include "runtime/address.h"

#include "gtest/gtest.h"

namespace mothrack {
namespace {

TEST(Address, OnlyAnIpAddressWithAPortIsParsed) {
  EXPECT_TRUE(runtime::ParseEndpoint("127.0.0.1:53"));
  EXPECT_EQ(runtime::ParseEndpoint("[::1]:53")->port(), 53);
  for (const char* bad :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:65536", "host:53", "[::1:53"}) {
    EXPECT_FALSE(runtime::ParseEndpoint(bad)) << bad;
  }
}

}  // namespace
}  // namespace mothrack
