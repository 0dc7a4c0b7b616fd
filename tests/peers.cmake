# The peers' core: its rules row by row, and many of them together in made-up time.
add_executable(peers_core_test peers_core_test.cpp)
target_link_libraries(peers_core_test PRIVATE mothrack_gossip GTest::gtest_main)
target_compile_definitions(peers_core_test PRIVATE MOTHRACK_PEERS_PAGE="${PROJECT_SOURCE_DIR}/docs/design/peers.md")
gtest_discover_tests(peers_core_test PROPERTIES TIMEOUT 300)
add_test(NAME peers_long_histories COMMAND peers_core_test --gtest_filter=Histories.*)
set_tests_properties(peers_long_histories PROPERTIES TIMEOUT 7200 LABELS slow ENVIRONMENT HISTORIES=100000)
