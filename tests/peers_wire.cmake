# What peers say, as bytes: the wire, the seal, the keys.
add_executable(peers_wire_test peers_wire_test.cpp)
target_link_libraries(peers_wire_test PRIVATE mothrack_gossip_wire mothrack_gossip_proto GTest::gtest_main)
gtest_discover_tests(peers_wire_test PROPERTIES TIMEOUT 120)

# Its measurements: sizes, and nanoseconds a datagram.
add_executable(bench_peers_wire ${PROJECT_SOURCE_DIR}/bench/peers_wire.cpp)
target_link_libraries(bench_peers_wire PRIVATE mothrack_gossip_wire)
