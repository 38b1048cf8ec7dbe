include(GoogleTest)

# hyssopspar_program(NAME SOURCES...): adds a program, linked to the library.
function(hyssopspar_program name)
  add_executable(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE hyssopspar)
  target_include_directories(${name} PRIVATE "${PROJECT_SOURCE_DIR}/src")
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
endfunction()

# hyssopspar_test(NAME SOURCES...): adds a GoogleTest program, with RapidCheck.
# HYSSOPSPAR_TEST_LABEL sets the CTest label of its tests.
function(hyssopspar_test name)
  add_executable(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE hyssopspar GTest::gmock GTest::gtest_main rapidcheck)
  target_include_directories(${name} PRIVATE "${PROJECT_SOURCE_DIR}/src")
  # Under a sanitizer, property tests run far more than ten times slower.
  set(cases 200)
  if(HYSSOPSPAR_SANITIZER)
    set(cases 40)
  endif()
  set(label unit)
  if(HYSSOPSPAR_TEST_LABEL)
    set(label ${HYSSOPSPAR_TEST_LABEL})
  endif()
  gtest_discover_tests(${name} DISCOVERY_TIMEOUT 60
    PROPERTIES TIMEOUT 600 LABELS ${label}
               ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=${cases}")
endfunction()
