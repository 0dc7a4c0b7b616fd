# Rings: the one that is taken beside those that are not.
add_executable(ring_bench ring_bench.cpp)
target_link_libraries(ring_bench PRIVATE mothrack_hash_ring mothrack_balancer)
