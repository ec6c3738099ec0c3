package io.parsleycleat.scenario;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the scenarios over separate processes. */
@CucumberOptions(features = "classpath:scenarios", glue = "io.parsleycleat.scenario", plugin = "summary")
public class ScenariosTest extends AbstractTestNGCucumberTests {}
