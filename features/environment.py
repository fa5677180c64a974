"""Starts one small site before each feature and stops it afterwards."""

from turmericcrank_dev.demo import start_demo_site


def before_feature(context, feature):
    context.demo = start_demo_site()
    context.site = context.demo.site
    context.outcomes = {}


def after_feature(context, feature):
    context.site.stop()
