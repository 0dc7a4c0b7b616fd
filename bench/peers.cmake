# Benchmark of gossip among many members in simulated time.
add_executable(peers_bench peers_bench.cpp)
target_link_libraries(peers_bench PRIVATE mothrack_gossip)
target_include_directories(peers_bench PRIVATE ${PROJECT_SOURCE_DIR}/tests)
