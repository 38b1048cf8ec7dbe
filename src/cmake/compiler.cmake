set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo CACHE STRING "Build type" FORCE)
endif()

# Values: "", "address" (address and undefined behaviour) or "thread".
set(HYSSOPSPAR_SANITIZER "" CACHE STRING "Sanitizer to build with")

add_compile_options(-Wall -Wextra -Werror)
if(HYSSOPSPAR_SANITIZER STREQUAL "address")
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -g1 -O1)
  add_link_options(-fsanitize=address,undefined)
elseif(HYSSOPSPAR_SANITIZER STREQUAL "thread")
  # The packaged oneTBB is not instrumented. BoundedRing therefore uses a mutex
  # in this configuration (see bounded_ring.h).
  add_compile_options(-fsanitize=thread -g1 -O1)
  # ThreadSanitizer does not support memory fences. Asio works without them,
  # because a mutex protects its queue.
  add_compile_definitions(HYSSOPSPAR_THREAD_SANITIZER
    BOOST_ASIO_DISABLE_FENCED_BLOCK)
  add_link_options(-fsanitize=thread)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()
find_program(LLD_PROGRAM ld.lld)
if(LLD_PROGRAM)
  add_link_options(-fuse-ld=lld)
endif()
