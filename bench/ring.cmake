# Compares the hash ring in use with the alternatives.
add_executable(ring_bench ring_bench.cpp)
target_link_libraries(ring_bench PRIVATE mothrack_hash_ring mothrack_balancer)
